"""Which backend server a gateway sends each request to."""
