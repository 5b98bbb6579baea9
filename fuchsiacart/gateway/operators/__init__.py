"""What a gateway tells its operators."""
