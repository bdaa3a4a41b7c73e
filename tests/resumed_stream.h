/* Requests and replies of streams that their callers resume. */
#ifndef LS_RESUMED_STREAM_H
#define LS_RESUMED_STREAM_H

#include "gate_rig.h"

/* Beginning of a stream, which stays open. */
inline std::string
Begun(int events)
{
    return StreamHead("Transfer-Encoding: chunked\r\n") +
           Chunk(Events(0, events - 1));
}

inline std::string
Prompt(const std::string &id, const std::string &more = "")
{
    return "POST /r/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
           "\r\nX-Token-Usage: 1000,100\r\n"
           "X-Prompt-Prefix: aa:200,b1:800\r\n" +
           more + "Content-Length: 1\r\n\r\nb";
}

/* The request with which a caller resumes `id` after event 2. */
inline std::string
Resumption(const std::string &id)
{
    return Prompt(id + "-again",
                  "Last-Event-Id: 2\r\nResumes: " + id + "\r\n");
}

#endif
