"""What a gateway knows of servers, of its own view and of other gateways."""
