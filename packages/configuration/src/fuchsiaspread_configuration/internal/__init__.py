"""Parts of the configuration package outside its public interface."""
