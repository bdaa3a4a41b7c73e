/* Client request: see client_request.h. */
#include "client_request.h"

#include "../clock.h"

ClientRequest
ClientRequest_New(const ClientCallOptions *options)
{
    ClientRequest request = {.head = evbuffer_new(), .rest = evbuffer_new()};
    struct evbuffer *out = request.head;
    const HeaderList *headers = options->headers;

    evbuffer_add_printf(out, "%s %s HTTP/1.1\r\n", options->method,
                        options->target);
    if (headers == NULL || Header_Find(headers, "Host") == NULL) {
        evbuffer_add_printf(out, "Host: %s\r\n", options->address);
    }
    for (guint i = 0; headers != NULL && i < headers->fields->len; i++) {
        const HeaderField *field =
            &g_array_index(headers->fields, HeaderField, i);
        evbuffer_add_printf(out, "%s: %s\r\n", field->name, field->value);
    }
    if (options->body_size > 0 || options->with_length) {
        evbuffer_add_printf(out, "Content-Length: %zu\r\n",
                            options->body_size);
    }
    evbuffer_add(request.rest, "\r\n", 2);
    if (options->body_size > 0) {
        evbuffer_add(request.rest, options->body, options->body_size);
    }
    return request;
}

void
ClientRequest_Clear(ClientRequest *request)
{
    evbuffer_free(request->head);
    evbuffer_free(request->rest);
}

size_t
ClientRequest_Complete(ClientRequest *request,
                       const ClientCallOptions *options, int64_t now_us)
{
    if (options->left_name != NULL) {
        int64_t left_ms = (options->left_until_us - now_us) / CLK_US_PER_MS;
        evbuffer_add_printf(request->head, "%s: %" G_GINT64_FORMAT "\r\n",
                            options->left_name, MAX(left_ms, 1));
    }
    evbuffer_add_buffer(request->head, request->rest);
    return evbuffer_get_length(request->head);
}
