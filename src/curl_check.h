/* Curl check (CurlCheck_): validates the heads, interim responses and trailers
   of a libcurl transfer, and whether its end proves that the response is
   complete. libcurl takes any three digits for a status and ignores fields
   that it can't read. */
#ifndef LS_CURL_CHECK_H
#define LS_CURL_CHECK_H

#include "io/head_check.h"

#include <curl/curl.h>

typedef struct CurlCheck {
    CURL *easy;
    HeadCheck head;
    bool has_head; /* A final head has ended: trailers follow. */
} CurlCheck;

/* Checks the transfer's heads. Sets its header callback; the transfer fails at
   a malformed head. `check` must stay valid as long as `easy`. */
void CurlCheck_Begin(CurlCheck *check, CURL *easy);
/* Whether a transfer that ended without an error is complete; `upload_size`:
   the size of the request's body. The end of the connection ends a response
   only if the whole body was sent, or the server declined it by an error that
   announces the close. */
bool CurlCheck_IsComplete(const CurlCheck *check, size_t upload_size);

#endif
