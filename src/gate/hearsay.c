/* Hearsay: notices of workers in a request for another VM. See hearsay.h. */
#include "hearsay.h"

#include "../metrics.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* One notice: the worker's hash, the kind and a value. A limit is followed by
   its age in ms. */
#define HEARSAY_LEAVES 'l' /* Time for which it gets requests, ms. */
#define HEARSAY_PAUSES 'p' /* Time for which it wants none, ms. */
#define HEARSAY_LIMIT 'r'  /* Requests a second. */
#define HEARSAY_FAILED 'f' /* 0: it has failed the request. */
#define HEARSAY_PREFIX ";%016" G_GINT64_MODIFIER "x %c "
/* Longest time that is taken from another VM, ms. */
#define HEARSAY_MAX_MS ((int64_t)24 * 3600 * 1000)

static bool write_worker(const FleetWorker *worker, int64_t now_us,
                         GString *text);
static FleetWorker *read_notice(Fleet *fleet, const char *text,
                                int64_t now_us);
static bool read_ms(const char *text, int64_t *ms);

void
Hearsay_Write(const Fleet *fleet, const char *service, int64_t now_us,
              GString *text)
{
    uint32_t count = 0;

    for (guint i = 0; i < fleet->rows->len; i++) {
        const FleetWorker *worker = g_ptr_array_index(fleet->rows, i);
        gsize before = text->len;
        if (strcmp(worker->entry.service, service) != 0 ||
            !write_worker(worker, now_us, text)) {
            continue;
        }
        if (count == HEARSAY_WORKERS_MAX || text->len > HEARSAY_MAX_BYTES) {
            g_string_truncate(text, before);
            Met_Add(MET_NOTICES_UNTOLD, 1);
            continue;
        }
        count++;
    }
}

static bool
write_worker(const FleetWorker *worker, int64_t now_us, GString *text)
{
    const NoticeState *notice = &worker->notice;
    const Throttle *throttle = &worker->throttle;
    gsize before = text->len;

    /* What only came with a request isn't passed on: VMs that send requests to
       each other would repeat it without an end. */
    if (Fleet_IsLeaving(worker) && Notice_IsLeaving(notice, now_us)) {
        int64_t left_us = Notice_GetLeft(notice, now_us);
        g_string_append_printf(text, HEARSAY_PREFIX "%" G_GINT64_FORMAT,
                               worker->hash, HEARSAY_LEAVES,
                               MAX(left_us, 0) / CLK_US_PER_MS);
    }
    if (Notice_IsPaused(notice, now_us)) {
        g_string_append_printf(
            text, HEARSAY_PREFIX "%" G_GINT64_FORMAT, worker->hash,
            HEARSAY_PAUSES,
            (notice->paused_until_us - now_us) / CLK_US_PER_MS + 1);
    }
    if (Throttle_IsLimited(throttle)) {
        char limit[G_ASCII_DTOSTR_BUF_SIZE];
        g_ascii_formatd(limit, sizeof(limit), "%.6g", throttle->limit);
        g_string_append_printf(text, HEARSAY_PREFIX "%s %" G_GINT64_FORMAT,
                               worker->hash, HEARSAY_LIMIT, limit,
                               (now_us - throttle->told_us) / CLK_US_PER_MS);
    }
    return text->len > before;
}

void
Hearsay_WriteFailed(FleetWorker *const *workers, uint32_t count, GString *text)
{
    for (uint32_t i = 0; i < count; i++) {
        if (!workers[i]->is_vm) {
            g_string_append_printf(text, HEARSAY_PREFIX "0", workers[i]->hash,
                                   HEARSAY_FAILED);
        }
    }
}

uint32_t
Hearsay_Read(Fleet *fleet, const char *text, int64_t now_us,
             FleetWorker **failed, uint32_t max)
{
    gchar **notices = g_strsplit(text, ";", -1);
    uint32_t count = 0;

    /* The part before the first one isn't a notice. */
    for (guint i = 1; notices[0] != NULL && notices[i] != NULL; i++) {
        FleetWorker *worker = read_notice(fleet, notices[i], now_us);
        if (worker != NULL && count < max) {
            failed[count++] = worker;
        }
    }
    g_strfreev(notices);
    return count;
}

/* Returns the worker if the notice says that it has failed the request. */
static FleetWorker *
read_notice(Fleet *fleet, const char *text, int64_t now_us)
{
    gchar **words = g_strsplit(text, " ", 5);
    guint count = g_strv_length(words);
    guint64 hash = 0;
    FleetWorker *worker = NULL;
    char kind = count > 2 && strlen(words[1]) == 1 ? words[1][0] : '\0';
    int64_t ms = 0;

    if (count > 0 && g_ascii_string_to_unsigned(words[0], 16, 0, G_MAXUINT64,
                                                &hash, NULL)) {
        worker = Fleet_FindByHash(fleet, hash);
    }
    if (worker == NULL) {
        kind = '\0';
    }
    if (kind == HEARSAY_LEAVES && count == 3 && read_ms(words[2], &ms)) {
        Notice_NoteTold(&worker->notice,
                        ms * CLK_US_PER_MS + NOTICE_SEND_MARGIN_US, now_us);
    }
    else if (kind == HEARSAY_PAUSES && count == 3 && read_ms(words[2], &ms)) {
        Notice_NotePause(&worker->notice, ms * CLK_US_PER_MS, now_us);
    }
    else if (kind == HEARSAY_LIMIT && count == 4 && read_ms(words[3], &ms)) {
        gchar *end = NULL;
        double limit = g_ascii_strtod(words[2], &end);
        if (*end == '\0' && isfinite(limit) && limit > 0) {
            Throttle_NoteLimit(&worker->throttle, limit,
                               now_us - ms * CLK_US_PER_MS, 0.0, now_us);
        }
    }
    g_strfreev(words);
    return kind == HEARSAY_FAILED ? worker : NULL;
}

static bool
read_ms(const char *text, int64_t *ms)
{
    return g_ascii_string_to_signed(text, 10, 0, HEARSAY_MAX_MS, ms, NULL);
}
