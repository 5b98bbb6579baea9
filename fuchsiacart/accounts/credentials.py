"""Keys in the headers of requests (RFC 6750, section 2.1)."""

from fuchsiacart.accounts.client_accounts import digest_key

AUTHORIZATION = 'Authorization'
SCHEME = 'bearer'


def read_key_digest(headers):
    """Return the digest of the key that a request carries.

    :param headers: tornado's headers.
    :return: the digest; '' if there is no key, its scheme is another or two
        headers differ.
    """
    values = set(headers.get_list(AUTHORIZATION))
    if len(values) != 1:
        return ''
    scheme, _, key = values.pop().strip().partition(' ')
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        return ''
    return digest_key(key)


def without_credentials(headers):
    """Return the headers after the key has been removed, in place.

    :param headers: tornado's headers.
    """
    headers.pop(AUTHORIZATION, None)
    return headers
