"""Parts of the daemon outside its public interface."""
