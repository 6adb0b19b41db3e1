"""Implementation of the command line; not a public interface."""
