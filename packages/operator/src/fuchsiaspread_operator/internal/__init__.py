"""Parts of the command line outside its public interface."""
