"""What a gateway may still use: retries, memory and quotas."""
