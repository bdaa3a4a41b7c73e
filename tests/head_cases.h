/* Heads of responses, and field lines of requests, that each reader must
   accept or reject in the same way. "%0" stands for a NUL byte. */
#ifndef HEAD_CASES_H
#define HEAD_CASES_H

#include <string>

struct HeadCase {
    const char *name;
    const char *before; /* Interim response. */
    const char *status; /* Status line without its end. */
    const char *fields;
    const char *framing;
    const char *body; /* With the framing of chunks and trailers. */
    bool is_valid;
};

#define HEAD_OK "HTTP/1.1 200 OK"
#define HEAD_LENGTH "Content-Length: 2\r\n"
#define HEAD_CHUNKS "Transfer-Encoding: chunked\r\n"

const HeadCase head_cases[] = {
    {"plain", "", HEAD_OK, "", HEAD_LENGTH, "ok", true},
    {"no reason", "", "HTTP/1.1 200", "", HEAD_LENGTH, "ok", true},
    {"empty reason", "", "HTTP/1.1 200 ", "", HEAD_LENGTH, "ok", true},
    {"tab in a reason", "", "HTTP/1.1 200 O\tK", "", HEAD_LENGTH, "ok", true},
    {"all token characters", "", HEAD_OK, "!#$%&'*+-.^_`|~09azAZ: 1\r\n",
     HEAD_LENGTH, "ok", true},
    {"empty value", "", HEAD_OK, "A:\r\nB: \r\n", HEAD_LENGTH, "ok", true},
    {"tabs and bytes above 127 in a value", "", HEAD_OK,
     "A:\t1\t2\r\nB: caf\xc3\xa9\r\n", HEAD_LENGTH, "ok", true},
    {"interim responses",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199\r\n"
     "A: 1\r\n\r\n",
     HEAD_OK, "", HEAD_LENGTH, "ok", true},
    {"trailers", "", HEAD_OK, "", HEAD_CHUNKS,
     "2\r\nok\r\n0\r\nA: 1\r\nB:\t2\r\n\r\n", true},

    {"status 999", "", "HTTP/1.1 999 OK", "", HEAD_LENGTH, "ok", false},
    {"status 600", "", "HTTP/1.1 600 OK", "", HEAD_LENGTH, "ok", false},
    {"status 099", "", "HTTP/1.1 099 OK", "", HEAD_LENGTH, "ok", false},
    {"status 000", "", "HTTP/1.1 000 OK", "", HEAD_LENGTH, "ok", false},
    {"status of two digits", "", "HTTP/1.1 20 OK", "", HEAD_LENGTH, "ok",
     false},
    {"status of four digits", "", "HTTP/1.1 0200 OK", "", HEAD_LENGTH, "ok",
     false},
    {"control byte in a reason", "", "HTTP/1.1 200 O\x01K", "", HEAD_LENGTH,
     "ok", false},
    {"blank in a name", "", HEAD_OK, "A b: 1\r\n", HEAD_LENGTH, "ok", false},
    {"blank before the colon", "", HEAD_OK, "A : 1\r\n", HEAD_LENGTH, "ok",
     false},
    {"tab before the colon", "", HEAD_OK, "A\t: 1\r\n", HEAD_LENGTH, "ok",
     false},
    {"blank before the colon of a length", "", HEAD_OK, "",
     "Content-Length : 2\r\n", "ok", false},
    {"blank before the colon of the framing", "", HEAD_OK, "",
     "Transfer-Encoding : chunked\r\n", "2\r\nok\r\n0\r\n\r\n", false},
    {"empty name", "", HEAD_OK, ": 1\r\n", HEAD_LENGTH, "ok", false},
    {"no colon", "", HEAD_OK, "A\r\n", HEAD_LENGTH, "ok", false},
    {"separator in a name", "", HEAD_OK, "A(b): 1\r\n", HEAD_LENGTH, "ok",
     false},
    {"byte above 127 in a name", "", HEAD_OK, "\xc3\xa9: 1\r\n", HEAD_LENGTH,
     "ok", false},
    {"NUL in a name", "", HEAD_OK, "A%0: 1\r\n", HEAD_LENGTH, "ok", false},
    {"NUL in a value", "", HEAD_OK, "A: 1%0\r\n", HEAD_LENGTH, "ok", false},
    {"control byte in a value", "", HEAD_OK, "A: 1\x01\r\n", HEAD_LENGTH, "ok",
     false},
    {"DEL in a value", "", HEAD_OK, "A: 1\x7f\r\n", HEAD_LENGTH, "ok", false},
    {"CR in a value", "", HEAD_OK, "A: 1\r2\r\n", HEAD_LENGTH, "ok", false},
    {"continued line", "", HEAD_OK, "A: 1\r\n 2\r\n", HEAD_LENGTH, "ok",
     false},
    {"continued line of a length", "", HEAD_OK, "",
     "Content-Length:\r\n 2\r\n", "ok", false},
    {"status 000 of an interim response", "HTTP/1.1 000 X\r\n\r\n", HEAD_OK,
     "", HEAD_LENGTH, "ok", false},
    {"status 099 of an interim response", "HTTP/1.1 099 X\r\n\r\n", HEAD_OK,
     "", HEAD_LENGTH, "ok", false},
    {"blank in a name of an interim response",
     "HTTP/1.1 103 X\r\nA b: 1\r\n\r\n", HEAD_OK, "", HEAD_LENGTH, "ok",
     false},
    {"control byte in a value of an interim response",
     "HTTP/1.1 103 X\r\nA: \x02\r\n\r\n", HEAD_OK, "", HEAD_LENGTH, "ok",
     false},
    {"blank in a name of a trailer", "", HEAD_OK, "", HEAD_CHUNKS,
     "2\r\nok\r\n0\r\nA b: 1\r\n\r\n", false},
    {"blank before the colon of a trailer", "", HEAD_OK, "", HEAD_CHUNKS,
     "2\r\nok\r\n0\r\nA : 1\r\n\r\n", false},
    {"control byte in a value of a trailer", "", HEAD_OK, "", HEAD_CHUNKS,
     "2\r\nok\r\n0\r\nA: 1\x1f\r\n\r\n", false},
};

/* Whether the fault lies in the trailers: what came before may have been
   passed on in part. */
inline bool
HasTrailer(const HeadCase &row)
{
    return std::string(row.body).find("0\r\nA") != std::string::npos;
}

inline std::string
WithNul(std::string text)
{
    for (size_t at; (at = text.find("%0")) != std::string::npos;) {
        text.replace(at, 2, 1, '\0');
    }
    return text;
}

/* The bytes of a response, with more fields. */
inline std::string
MakeResponse(const HeadCase &row, const std::string &more = "")
{
    return WithNul(row.before + std::string(row.status) + "\r\n" + more +
                   row.fields + row.framing + "\r\n" + row.body);
}

/* Whether the case is about what a request has, too. */
inline bool
IsForRequests(const HeadCase &row)
{
    return row.before[0] == '\0' && std::string(row.status) == HEAD_OK;
}

#endif
