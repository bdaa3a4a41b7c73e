/* Head check: see head_check.h. */
#include "head_check.h"

#include <string.h>

/* Start of a status line; 'd' stands for a digit, 's' for the first digit of
   a status, 1 to 5. */
static const char status_form[] = "HTTP/d.d sdd";

static bool read_byte(HeadCheck *check, unsigned char byte);
static bool read_status(HeadCheck *check, unsigned char byte);
static bool read_line_end(HeadCheck *check, unsigned char byte);
static bool is_digit(unsigned char byte);
static bool is_token(unsigned char byte);
static bool is_text(unsigned char byte);

void
HeadCheck_Begin(HeadCheck *check, HeadCheckKind kind)
{
    check->read = 0;
    check->state = kind == HEAD_CHECK_RESPONSE  ? HEAD_CHECK_STATUS
                   : kind == HEAD_CHECK_REQUEST ? HEAD_CHECK_REQUEST_LINE
                                                : HEAD_CHECK_LINE;
}

bool
HeadCheck_Read(HeadCheck *check, const char *data, size_t size, size_t *used)
{
    size_t at = 0;

    while (at < size && check->state != HEAD_CHECK_OVER) {
        if (!read_byte(check, (unsigned char)data[at])) {
            *used = at;
            return false;
        }
        at++;
    }
    *used = at;
    return true;
}

bool
HeadCheck_IsOver(const HeadCheck *check)
{
    return check->state == HEAD_CHECK_OVER;
}

bool
HeadCheck_IsField(const char *name, size_t name_size, const char *value,
                  size_t value_size)
{
    bool is_valid = name_size > 0;

    for (size_t i = 0; i < name_size; i++) {
        is_valid = is_valid && is_token((unsigned char)name[i]);
    }
    for (size_t i = 0; i < value_size; i++) {
        is_valid = is_valid && is_text((unsigned char)value[i]);
    }
    return is_valid;
}

static bool
read_byte(HeadCheck *check, unsigned char byte)
{
    switch (check->state) {
    case HEAD_CHECK_STATUS:
        return read_status(check, byte);
    case HEAD_CHECK_REQUEST_LINE:
        if (check->read == 0 && (byte == '\r' || byte == '\n')) {
            return true; /* Blank lines before a request are skipped. */
        }
        check->read++;
        return byte == '\r' || byte == '\n' ? read_line_end(check, byte)
                                            : byte != '\t' && is_text(byte);
    case HEAD_CHECK_LINE:
        if (byte == '\r') {
            check->state = HEAD_CHECK_EMPTY_END;
            return true;
        }
        if (byte == '\n') {
            check->state = HEAD_CHECK_OVER;
            return true;
        }
        check->state = HEAD_CHECK_NAME;
        return is_token(byte);
    case HEAD_CHECK_NAME:
        if (byte == ':') {
            check->state = HEAD_CHECK_VALUE;
            return true;
        }
        return is_token(byte);
    case HEAD_CHECK_REASON:
    case HEAD_CHECK_VALUE:
        return byte == '\r' || byte == '\n' ? read_line_end(check, byte)
                                            : is_text(byte);
    case HEAD_CHECK_LINE_END:
        check->state = HEAD_CHECK_LINE;
        return byte == '\n';
    case HEAD_CHECK_EMPTY_END:
        check->state = HEAD_CHECK_OVER;
        return byte == '\n';
    case HEAD_CHECK_OVER:
        break;
    }
    return false;
}

static bool
read_status(HeadCheck *check, unsigned char byte)
{
    char form = status_form[check->read];

    if (check->read == 0 && (byte == '\r' || byte == '\n')) {
        return true; /* As the parser does. */
    }
    if (form == '\0') {
        check->state = HEAD_CHECK_REASON;
        return byte == ' ' || byte == '\r' || byte == '\n'
                   ? read_byte(check, byte)
                   : false;
    }
    check->read++;
    if (form == 's') {
        return byte >= '1' && byte <= '5';
    }
    return form == 'd' ? is_digit(byte) : byte == (unsigned char)form;
}

/* Reads the CR or LF that ends a line. */
static bool
read_line_end(HeadCheck *check, unsigned char byte)
{
    check->state = byte == '\r' ? HEAD_CHECK_LINE_END : HEAD_CHECK_LINE;
    return true;
}

static bool
is_digit(unsigned char byte)
{
    return byte >= '0' && byte <= '9';
}

/* Whether a byte can stand in a field's name (RFC 9110, section 5.6.2). */
static bool
is_token(unsigned char byte)
{
    return is_digit(byte) || (byte >= 'a' && byte <= 'z') ||
           (byte >= 'A' && byte <= 'Z') ||
           (byte != '\0' && strchr("!#$%&'*+-.^_`|~", byte) != NULL);
}

/* Whether a byte can stand in a field's value: no control byte but tab. */
static bool
is_text(unsigned char byte)
{
    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}
