/* Curl check: see curl_check.h. */
#include "curl_check.h"

#include <string.h>
#include <strings.h>

static size_t read_head(char *data, size_t size, size_t count, void *context);
static bool has_field(const CurlCheck *check, const char *name,
                      const char *token);

void
CurlCheck_Begin(CurlCheck *check, CURL *easy)
{
    check->easy = easy;
    check->has_head = false;
    HeadCheck_Begin(&check->head, HEAD_CHECK_RESPONSE);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_head);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, check);
}

bool
CurlCheck_IsComplete(const CurlCheck *check, size_t upload_size)
{
    curl_off_t length = -1;
    curl_off_t sent = 0;
    long status = 0;

    curl_easy_getinfo(check->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
                      &length);
    curl_easy_getinfo(check->easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    curl_easy_getinfo(check->easy, CURLINFO_RESPONSE_CODE, &status);
    return length >= 0 || (size_t)sent >= upload_size ||
           has_field(check, "Transfer-Encoding", "chunked") ||
           (status >= 400 && has_field(check, "Connection", "close"));
}

/* libcurl callback, called with each line of a head or of trailers. Returns
   0, which fails the transfer, if it is malformed. */
static size_t
read_head(char *data, size_t size, size_t count, void *context)
{
    CurlCheck *check = context;
    size_t length = size * count;
    size_t used = 0;
    long status = 0;

    if (HeadCheck_IsOver(&check->head)) {
        HeadCheck_Begin(&check->head, check->has_head ? HEAD_CHECK_TRAILER
                                                      : HEAD_CHECK_RESPONSE);
    }
    if (!HeadCheck_Read(&check->head, data, length, &used) || used != length) {
        return 0;
    }
    curl_easy_getinfo(check->easy, CURLINFO_RESPONSE_CODE, &status);
    check->has_head |= HeadCheck_IsOver(&check->head) && status >= 200;
    return length;
}

static bool
has_field(const CurlCheck *check, const char *name, const char *token)
{
    struct curl_header *field = NULL;

    return curl_easy_header(check->easy, name, 0, CURLH_HEADER, -1, &field) ==
               CURLHE_OK &&
           strcasecmp(field->value, token) == 0;
}
