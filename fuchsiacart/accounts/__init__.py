"""Client accounts: their keys, their quotas and the revocation of keys.

Performs no I/O and imports nothing of the gateway or the control group, which
both use it.
"""

from fuchsiacart.accounts.client_accounts import AccountId
from fuchsiacart.accounts.client_accounts import AccountTable
from fuchsiacart.accounts.client_accounts import ClientAccount
from fuchsiacart.accounts.client_accounts import combine_homes
from fuchsiacart.accounts.client_accounts import digest_key
from fuchsiacart.accounts.client_accounts import find_shared_key
from fuchsiacart.accounts.credentials import read_key_digest
from fuchsiacart.accounts.credentials import without_credentials
from fuchsiacart.accounts.quota_books import QuotaBook
from fuchsiacart.accounts.quota_books import QuotaState
from fuchsiacart.accounts.quota_ledgers import QuotaLedger
from fuchsiacart.accounts.quota_messages import QuotaGrant
from fuchsiacart.accounts.quota_messages import QuotaReport
from fuchsiacart.accounts.quota_terms import QuotaTerms

__all__ = (
    'AccountId',
    'AccountTable',
    'ClientAccount',
    'QuotaBook',
    'QuotaGrant',
    'QuotaLedger',
    'QuotaReport',
    'QuotaState',
    'QuotaTerms',
    'combine_homes',
    'digest_key',
    'find_shared_key',
    'read_key_digest',
    'without_credentials',
)
