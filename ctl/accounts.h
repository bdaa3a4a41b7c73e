/* Accounts (Accounts_): reads the client accounts, the lease of keys and the
   rejections by cause from the metrics of the gates. */
#ifndef LS_ACCOUNTS_H
#define LS_ACCOUNTS_H

#include <jansson.h>

/* Returns {"lease", "proof_age_s", "rejected": {cause: count}, "accounts":
   {name: requests}} from the text of /metrics. "lease" is absent where none is
   needed, and "proof_age_s" without a proof. */
json_t *Accounts_Parse(const char *metrics);
/* Prints the rows of one gate. */
void Accounts_Print(const char *address, const json_t *row);

#endif
