/* Release beside VMs that are out of step. See release.h. */
#include "release.h"

#include "io/loop.h"

/* Times between the steps. */
#define RELEASE_JOIN_MIN_MS 100
#define RELEASE_JOIN_MAX_MS 900
#define RELEASE_RUN_MIN_MS 1500
#define RELEASE_RUN_MAX_MS 3500
#define RELEASE_HEAL_MIN_MS 100
#define RELEASE_HEAL_MAX_MS 1500
/* Shares of the releases in which a new worker starts again as the streams
   break, a VM stands still, half of the VMs are cut off, a cut takes the
   store, too, and is over before streams break. */
#define RELEASE_CRASH_RATIO 0.5
#define RELEASE_PAUSE_RATIO 0.2
#define RELEASE_HALF_RATIO 0.5
#define RELEASE_STORE_RATIO 0.8
#define RELEASE_EARLY_RATIO 0.4

typedef enum ReleaseStep {
    RELEASE_LEAVE_STEP, /* VMs get out of step. */
    RELEASE_JOIN,       /* Every second decode worker starts as a new one. */
    RELEASE_BREAK,      /* VMs that began streams are killed. */
    RELEASE_HEAL,       /* The VMs are in step again. */
    RELEASE_DONE,
} ReleaseStep;

struct Release {
    ReleaseOptions options;
    struct event *timer;
    ReleaseStep step;
    bool is_paused; /* VM `first` stands still; else it is cut off. */
    VmLinksCut cut; /* Of the VMs that are cut off. */
    bool is_out_of_step;
    bool heals_early; /* Before streams break. */
    guint first;      /* The VMs that are out of step ... */
    guint count;      /* ... follow each other. */
};

static void on_timer(evutil_socket_t fd, short what, void *context);
static void leave_step(Release *release);
static void join(const Release *release);
static void break_streams(const Release *release);
static void heal(Release *release);

Release *
Release_New(const ReleaseOptions *options)
{
    Release *release = g_new0(Release, 1);

    release->options = *options;
    release->timer = evtimer_new(options->base, on_timer, release);
    Loop_ArmTimer(release->timer, RELEASE_QUIET_MS);
    return release;
}

void
Release_Free(Release *release)
{
    if (release == NULL) {
        return;
    }
    heal(release);
    event_free(release->timer);
    g_free(release);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    Release *release = context;
    GRand *rand = release->options.rand;
    gint32 next_ms = 0;

    (void)fd;
    (void)what;
    switch (release->step) {
    case RELEASE_LEAVE_STEP:
        leave_step(release);
        next_ms =
            g_rand_int_range(rand, RELEASE_JOIN_MIN_MS, RELEASE_JOIN_MAX_MS);
        break;
    case RELEASE_JOIN:
        join(release);
        next_ms =
            g_rand_int_range(rand, RELEASE_RUN_MIN_MS, RELEASE_RUN_MAX_MS);
        if (release->heals_early) {
            heal(release);
        }
        break;
    case RELEASE_BREAK:
        break_streams(release);
        next_ms =
            g_rand_int_range(rand, RELEASE_HEAL_MIN_MS, RELEASE_HEAL_MAX_MS);
        break;
    case RELEASE_HEAL:
        heal(release);
        break;
    case RELEASE_DONE:
        return;
    }
    release->step++;
    if (release->step != RELEASE_DONE) {
        Loop_ArmTimer(release->timer, (uint32_t)next_ms);
    }
}

static void
leave_step(Release *release)
{
    const ReleaseOptions *options = &release->options;
    GRand *rand = options->rand;

    release->first =
        (guint)g_rand_int_range(rand, 0, (gint32)options->vm_count);
    release->is_out_of_step = true;
    release->heals_early = g_rand_double(rand) < RELEASE_EARLY_RATIO;
    release->is_paused = g_rand_double(rand) < RELEASE_PAUSE_RATIO;
    release->cut = g_rand_double(rand) < RELEASE_STORE_RATIO
                       ? VM_LINKS_CUT_VMS_AND_STORE
                       : VM_LINKS_CUT_VMS;
    release->count =
        !release->is_paused && g_rand_double(rand) < RELEASE_HALF_RATIO
            ? (options->vm_count + 1) / 2
            : 1;
    for (guint i = 0; i < release->count; i++) {
        guint vm = (release->first + i) % options->vm_count;
        if (release->is_paused) {
            options->set_paused(options->context, vm, true);
        }
        else {
            VmLinks_SetCut(options->links, vm, release->cut);
        }
    }
    g_print("release: %u VMs from %u on %s\n", release->count, release->first,
            release->is_paused ? "stand still"
            : release->cut == VM_LINKS_CUT_VMS
                ? "are cut off from the others"
                : "are cut off from the others and the store");
}

static void
join(const Release *release)
{
    Sim *sim = release->options.sim;
    guint first = SIM_PLAIN_COUNT + SIM_PREFILL_COUNT;

    Sim_SetRelease(sim, 2);
    for (guint i = first; i < SIM_WORKER_COUNT; i += 2) {
        Sim_CrashWorker(sim, i);
        Sim_StartWorker(sim, i);
    }
    g_print("release: workers of the new version join\n");
}

static void
break_streams(const Release *release)
{
    const ReleaseOptions *options = &release->options;
    guint others = options->vm_count - release->count;

    /* One of the VMs that were in step goes on. */
    for (guint i = 0; i + 1 < MAX(others, 2); i++) {
        guint vm = (release->first + release->count + i) % options->vm_count;
        options->kill_vm(options->context, vm);
        g_print("release: VM %u is killed\n", vm);
    }
    if (g_rand_double(options->rand) < RELEASE_CRASH_RATIO) {
        Sim_CrashWorker(options->sim, SIM_PLAIN_COUNT + SIM_PREFILL_COUNT);
        Sim_StartWorker(options->sim, SIM_PLAIN_COUNT + SIM_PREFILL_COUNT);
        g_print("release: a new worker starts again\n");
    }
}

static void
heal(Release *release)
{
    const ReleaseOptions *options = &release->options;

    if (!release->is_out_of_step) {
        return;
    }
    for (guint i = 0; i < release->count; i++) {
        guint vm = (release->first + i) % options->vm_count;
        if (release->is_paused) {
            options->set_paused(options->context, vm, false);
        }
        VmLinks_SetCut(options->links, vm, VM_LINKS_WHOLE);
    }
    g_print("release: the VMs are in step again\n");
    release->is_out_of_step = false;
}
