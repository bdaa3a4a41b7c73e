/* Soak test of the gate: runs real gate processes on loopback against
   a simulated platform and callers, and injects faults drawn from a seed.

   Exit codes: 0 no findings, 1 a guarantee was violated, 2 wrong usage. */
#include "load_generator.h"
#include "release.h"
#include "sim_platform.h"
#include "vm_links.h"

#include "io/loop.h"

#include <argtable2.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

/* To all VMs together, and to each one at least. */
#define SOAK_REQUESTS_PER_S 120
#define SOAK_VM_REQUESTS_PER_S 3
/* Share of the streams that are long, and while callers take streams up. */
#define SOAK_LONG_RATIO 0.03
#define SOAK_TAKEN_LONG_RATIO 0.25
#define SOAK_RELEASE_LONG_RATIO 0.5
/* Slots of a worker, and for more VMs than SOAK_SMALL_VMS_MAX. */
#define SOAK_SLOTS 8
#define SOAK_LARGE_SLOTS 48
#define SOAK_SMALL_VMS_MAX 12
/* Retry budget, and a small one for a demand that is far above it. */
#define SOAK_RATIO 0.2
#define SOAK_SLACK 58
#define SOAK_TIGHT_RATIO 0.05
#define SOAK_TIGHT_SLACK 20
#define SOAK_WINDOW_S 10
/* Share of callers that disconnect before their response. */
#define SOAK_DISCONNECT_RATIO 0.05
/* Time that VMs have to load the configuration before the first request. */
#define SOAK_START_MS 2500
/* Time between the starts of two faults. */
#define SOAK_INTERVAL_MIN_MS 100
#define SOAK_INTERVAL_MAX_MS 900
/* Duration of a fault. */
#define SOAK_DURATION_MIN_MS 200
#define SOAK_DURATION_MAX_MS 2500
/* Added to the duration of a drain, so that the worker serves for longer than
   SIM_DRAIN_MS, the time within which VMs must stop sending requests to it. */
#define SOAK_DRAIN_EXTRA_MS 4000
/* Setting grace-s: time that a process has to exit after SIGTERM. */
#define SOAK_GRACE_MS 8000
/* All VMs must serve again within this time after the last fault. It is the
   recovery time that the deployment publishes as recovery-s; the gate has no
   such setting. */
#define SOAK_RECOVERY_MS 12000
/* Time from a process's exit to its restart. */
#define SOAK_RESTART_DELAY_MS 300
/* Probabilities set with Sim_SetFailures() during the fault "answers_lost". */
#define SOAK_LOST_RATIO 0.03
#define SOAK_FAILED_RATIO 0.03
/* The copy from which a store returns is at most this old. */
#define SOAK_RESTORE_BACK_MAX_MS 6000
#define SOAK_PAUSE_MAX_MS 4000 /* Longest pause that a worker names. */
/* Limits of requests a second that workers name, in tenths, and what is added
   to their duration, so that they are judged. */
#define SOAK_LIMIT_TENTHS_MAX 60
#define SOAK_LIMIT_EXTRA_MS 9000
/* Share of the streams with a part on which workers crash, and what is added
   to the duration. */
#define SOAK_CRASH_RATIO 0.1
#define SOAK_PART_EXTRA_MS 4000

/* Times from the end of the start to the first series of silences, and between
   the starts of two, which is longer than a silence. */
#define SOAK_SERIES_MIN_MS 1800
#define SOAK_SERIES_MAX_MS 3600
/* A worker of a series falls silent once, for this long. */
#define SOAK_SILENCE_MIN_MS 800
#define SOAK_SILENCE_MAX_MS 1600
/* Share of the workers that fall silent in one series. */
#define SOAK_SILENT_SHARE_MIN 0.4
#define SOAK_SILENT_SHARE_MAX 1.0
/* Added to the seed for the random numbers that draw silences, so that these
   use none of those that draw the other faults. */
#define SOAK_SILENCE_SEED 0x51
/* The same for the forms of answers and of the ends of processes. */
#define SOAK_FORM_SEED 0x62
#define SOAK_LINGER_SEED 0x65
#define SOAK_MALFORMED_SEED 0x66
#define SOAK_RELEASE_SEED 0x67
/* Share of the crashed workers that start again at once. */
#define SOAK_RESTART_AT_ONCE_RATIO 0.25
/* With two builds: time between the changes of two VMs. */
#define SOAK_CHANGE_MS 1200
/* A held stop: the process gets no processor for this long from its SIGTERM
   on. */
#define SOAK_HOLD_MIN_MS 100
#define SOAK_HOLD_MAX_MS 800
/* From this time after SIGTERM a VM may end requests to exit in time. */
#define SOAK_LATE_MS (SOAK_GRACE_MS * 5 / 6)

typedef struct SoakOptions {
    const char *gate;     /* Path of the gate executable. */
    const char *old_gate; /* That of an earlier build, or NULL. */
    const char *out;      /* Directory for settings and logs. */
    guint seed;
    guint vm_count;
    guint seconds;
    const char *fault;    /* Name of the only fault that is drawn, or NULL. */
    bool has_steps;       /* An event may hold several tokens. */
    bool has_cuts;        /* As in SimOptions. */
    bool has_malformed;   /* Workers write malformed events. */
    bool has_release;     /* The only fault is that of release.h. */
    bool restarts;        /* Workers keep their identifiers, and callers take
                             up streams. */
    double failing_ratio; /* Share of the answers that are lost all the time,
                             with a small retry budget; 0: as usual. */
} SoakOptions;

typedef struct Soak Soak;

/* One VM: a gate process, its settings file and its log file. */
typedef struct SoakVm {
    Soak *soak;
    guint number;
    const char *gate;         /* Path of the executable that it starts next. */
    pid_t pid;                /* 0 if no process runs */
    char settings[256];       /* Path of the link to the settings file. */
    uint32_t settings_count;  /* Files written so far. */
    char log[256];            /* Path of the log file. */
    char address[32];         /* "IP:port" */
    struct event *timer;      /* Restart, or SIGKILL after the grace period. */
    struct event *hold_timer; /* Ends a held stop. */
    bool is_old;              /* The process is of the earlier build. */
    bool is_stopping;         /* The soak test has sent SIGTERM or SIGKILL. */
    bool is_late;             /* SOAK_LATE_MS have passed since. */
    bool is_paused;
} SoakVm;

typedef struct SoakFault SoakFault;
typedef void (*SoakFaultAction)(Soak *soak, const SoakFault *fault,
                                guint pick);

/* One kind of fault. `end` is NULL if the fault has no duration. */
struct SoakFault {
    const char *name;
    guint weight;   /* Relative frequency. */
    guint extra_ms; /* Added to the random duration. */
    /* During the fault, VMs might not learn that a worker drains. */
    bool hides_draining;
    SoakFaultAction begin;
    SoakFaultAction end;
    int mode; /* ProxyMode or SimStoreState that the fault sets, otherwise 0 */
};

/* An active fault that ends when its timer expires. */
typedef struct SoakActiveFault {
    Soak *soak;
    const SoakFault *fault;
    guint pick; /* Random number that selects the VM and the worker. */
    struct event *timer;
} SoakActiveFault;

struct Soak {
    struct event_base *base;
    Clk clk;
    Ledger ledger;
    GRand *rand;
    Sim *sim;
    LoadGen *load_gen;
    SoakOptions options;
    uint16_t port; /* First of three consecutive ports. */
    guint vm_count;
    bool is_started; /* All VMs have been started once. */
    SoakVm vms[LOAD_GEN_VMS_MAX];
    struct event *child_signal;
    struct event *timer; /* Starts the next fault. */
    GRand *form_rand;    /* NULL with two builds. */
    GRand *linger_rand;  /* The same. */
    GRand *malformed_rand;
    GRand *release_rand;
    VmLinks *links;   /* NULL without a release. */
    Release *release; /* The same. */
    GRand *silence_rand;
    struct event *series_timer;  /* Starts the next series of silences. */
    struct event *planned_timer; /* Starts the work planned in a series. */
    struct event *change_timer;  /* Changes the build of the next VM. */
    guint change_count;          /* Changes so far. */
    guint first_changed;         /* VM that is changed first. */
    GPtrArray *active_faults;    /* SoakActiveFault * */
    bool has_quiet_stops;        /* No silence begins while a VM stops. */
    bool is_shutting_down;       /* Processes are not restarted. */
};

static int run_soak(const SoakOptions *options);
static void begin_release(Soak *self);
static void set_paused(void *context, guint vm, bool is_paused);
static void kill_vm_of_release(void *context, guint vm);
static void wait_for_recovery(Soak *self);
static void begin_random(Soak *self);
static void begin_soak(Soak *self);
static void start_all_vms(Soak *self);
static void end_soak(Soak *self);
static void write_settings(Soak *self, SoakVm *vm);
static void start_vm(SoakVm *vm);
static void signal_vm(SoakVm *vm, int signal_number);
static void on_child(evutil_socket_t fd, short what, void *context);
static void hold_vm(SoakVm *vm, guint hold_ms);
static void on_hold_end(evutil_socket_t fd, short what, void *context);
static void on_vm_timer(evutil_socket_t fd, short what, void *context);
static const SoakFault *find_fault(const char *name);
static const SoakFault *draw_fault(GRand *rand);
static void on_next_fault(evutil_socket_t fd, short what, void *context);
static void on_fault_end(evutil_socket_t fd, short what, void *context);
static void end_fault(SoakActiveFault *active);
static void on_next_series(evutil_socket_t fd, short what, void *context);
static void on_planned(evutil_socket_t fd, short what, void *context);
static void on_next_change(evutil_socket_t fd, short what, void *context);
static guint count_running(const Soak *self);
static void excuse_relayed(Soak *self, guint vm);
static void run_for(Soak *self, guint ms);
static void print_fault(const Soak *self, const char *what, const char *name,
                        guint pick);

static void kill_vm(Soak *self, const SoakFault *fault, guint pick);
static void stop_vm(Soak *self, const SoakFault *fault, guint pick);
static void stop_held_vm(Soak *self, const SoakFault *fault, guint pick);
static void pause_vm(Soak *self, const SoakFault *fault, guint pick);
static void resume_vm(Soak *self, const SoakFault *fault, guint pick);
static void reload_vm(Soak *self, const SoakFault *fault, guint pick);
static void kill_all_vms(Soak *self, const SoakFault *fault, guint pick);
static void crash_worker(Soak *self, const SoakFault *fault, guint pick);
static void start_worker(Soak *self, const SoakFault *fault, guint pick);
static void drain_worker(Soak *self, const SoakFault *fault, guint pick);
static void replace_worker(Soak *self, const SoakFault *fault, guint pick);
static void impair_worker(Soak *self, const SoakFault *fault, guint pick);
static void restore_worker(Soak *self, const SoakFault *fault, guint pick);
static void reset_worker(Soak *self, const SoakFault *fault, guint pick);
static void impair_store(Soak *self, const SoakFault *fault, guint pick);
static void restore_store(Soak *self, const SoakFault *fault, guint pick);
static void block_store(Soak *self, const SoakFault *fault, guint pick);
static void unblock_store(Soak *self, const SoakFault *fault, guint pick);
static void begin_failures(Soak *self, const SoakFault *fault, guint pick);
static void end_failures(Soak *self, const SoakFault *fault, guint pick);
static void change_config(Soak *self, const SoakFault *fault, guint pick);
static void shorten_timeouts(Soak *self, const SoakFault *fault, guint pick);
static void restore_old_store(Soak *self, const SoakFault *fault, guint pick);
static void make_worker_leave(Soak *self, const SoakFault *fault, guint pick);
static void pause_worker(Soak *self, const SoakFault *fault, guint pick);
static void limit_worker(Soak *self, const SoakFault *fault, guint pick);
static void lift_limit(Soak *self, const SoakFault *fault, guint pick);
static void begin_part(Soak *self, const SoakFault *fault, guint pick);
static void end_part(Soak *self, const SoakFault *fault, guint pick);

static const SoakFault faults[] = {
    {"vm_kill", 3, 0, false, kill_vm, NULL, 0},
    {"vm_stop", 3, 0, false, stop_vm, NULL, 0},
    {"vm_held_stop", 2, 0, false, stop_held_vm, NULL, 0},
    {"vm_pause", 2, 0, true, pause_vm, resume_vm, 0},
    {"vm_reload", 2, 0, false, reload_vm, NULL, 0},
    {"vm_kill_all", 1, 0, true, kill_all_vms, NULL, 0},
    {"worker_crash", 4, 0, false, crash_worker, start_worker, 0},
    {"worker_drain", 2, SOAK_DRAIN_EXTRA_MS, false, drain_worker,
     replace_worker, 0},
    {"worker_slow", 2, 0, false, impair_worker, restore_worker, PROXY_SLOW},
    {"worker_silent", 2, 0, false, impair_worker, restore_worker,
     PROXY_SILENT},
    {"worker_mute", 2, 0, false, impair_worker, restore_worker, PROXY_MUTE},
    {"worker_dribbles", 2, 0, false, impair_worker, restore_worker,
     PROXY_DRIBBLE},
    {"worker_endless", 2, 0, false, impair_worker, restore_worker,
     PROXY_ENDLESS},
    {"worker_reset", 2, 0, false, reset_worker, NULL, 0},
    {"store_down", 1, 0, true, impair_store, restore_store, SIM_STORE_DOWN},
    {"store_slow", 1, 0, true, impair_store, restore_store, SIM_STORE_SLOW},
    {"store_forgets", 1, 0, true, impair_store, restore_store,
     SIM_STORE_NO_HISTORY},
    {"store_silent", 1, 0, true, block_store, unblock_store, PROXY_SILENT},
    {"answers_lost", 2, 0, false, begin_failures, end_failures, 0},
    {"config", 3, 0, false, change_config, NULL, 0},
    {"store_restored", 2, 0, false, restore_old_store, NULL, 0},
    {"worker_leaves", 2, SOAK_DRAIN_EXTRA_MS, false, make_worker_leave,
     replace_worker, 0},
    {"worker_pauses", 2, 0, false, pause_worker, NULL, 0},
    {"worker_limits", 2, SOAK_LIMIT_EXTRA_MS, false, limit_worker, lift_limit,
     0},
    {"part_crashes", 2, SOAK_PART_EXTRA_MS, false, begin_part, end_part, 0},
};

/* Work that the operator plans, during silences. The VMs that it stops start
   again. */
static const SoakFault planned_work[] = {
    {"planned_config", 1, 0, false, change_config, NULL, 0},
    {"planned_short_timeouts", 1, 0, false, shorten_timeouts, NULL, 0},
    {"planned_reload", 1, 0, false, reload_vm, NULL, 0},
    {"planned_stop", 1, 0, false, stop_vm, NULL, 0},
    {"planned_held_stop", 1, 0, false, stop_held_vm, NULL, 0},
};

int
main(int argc, char **argv)
{
    struct arg_str *gate = arg_str1(NULL, "gate", "FILE", "gate executable");
    struct arg_str *old_gate =
        arg_str0(NULL, "old-gate", "FILE",
                 "executable of an earlier build: VMs change between both");
    struct arg_str *out =
        arg_str1(NULL, "out", "DIR", "directory for settings and logs");
    struct arg_int *seed = arg_int0(NULL, "seed", "N", "default: 1");
    struct arg_int *vms = arg_int0(NULL, "vms", "N", "default: 3");
    struct arg_int *seconds = arg_int0(NULL, "seconds", "N", "default: 10");
    struct arg_lit *restarts =
        arg_lit0(NULL, "restarts",
                 "workers keep their identifiers, callers take up streams");
    struct arg_dbl *failing =
        arg_dbl0(NULL, "failing", "R",
                 "share of answers that are lost, with a small retry budget");
    struct arg_str *only =
        arg_str0(NULL, "fault", "NAME", "the only fault that is drawn");
    struct arg_lit *steps =
        arg_lit0(NULL, "steps", "events hold several tokens");
    struct arg_lit *cuts =
        arg_lit0(NULL, "cuts",
                 "answers without framing may break off between two events");
    struct arg_lit *malformed =
        arg_lit0(NULL, "malformed", "workers write malformed events");
    struct arg_lit *release =
        arg_lit0(NULL, "release",
                 "new workers join while VMs are cut off or stand still");
    struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
    struct arg_end *end = arg_end(8);
    void *table[] = {gate,    old_gate,  out,     seed, vms,
                     seconds, restarts,  failing, only, steps,
                     cuts,    malformed, release, help, end};
    int errors;
    int status = 2;

    seed->ival[0] = 1;
    vms->ival[0] = 3;
    seconds->ival[0] = 10;
    failing->dval[0] = 0;
    errors = arg_parse(argc, argv, table);
    if (help->count > 0) {
        printf("Usage: %s", argv[0]);
        arg_print_syntax(stdout, table, "\n");
        arg_print_glossary(stdout, table, "  %-16s %s\n");
        status = 0;
    }
    else if (errors > 0 || vms->ival[0] < 1 ||
             vms->ival[0] > LOAD_GEN_VMS_MAX || seconds->ival[0] < 1 ||
             (only->count > 0 && find_fault(only->sval[0]) == NULL)) {
        arg_print_errors(stderr, end, argv[0]);
        fprintf(stderr,
                "error 500 setting: --vms must be 1 to %d, --seconds at "
                "least 1, --fault the name of a fault\n",
                LOAD_GEN_VMS_MAX);
    }
    else {
        SoakOptions options = {
            .gate = gate->sval[0],
            .old_gate = old_gate->count > 0 ? old_gate->sval[0] : NULL,
            .out = out->sval[0],
            .seed = (guint)seed->ival[0],
            .vm_count = (guint)vms->ival[0],
            .seconds = (guint)seconds->ival[0],
            .fault = only->count > 0 ? only->sval[0] : NULL,
            .has_steps = steps->count > 0,
            .has_cuts = cuts->count > 0,
            .has_malformed = malformed->count > 0,
            .has_release = release->count > 0,
            .restarts = restarts->count > 0,
            .failing_ratio = failing->dval[0],
        };
        status = run_soak(&options);
    }
    arg_freetable(table, sizeof(table) / sizeof(table[0]));
    return status;
}

static int
run_soak(const SoakOptions *options)
{
    Soak self = {.options = *options, .vm_count = options->vm_count};
    guint vm_count = options->vm_count;
    LedgerEnds ends;
    guint served;
    guint all;
    int status;

    begin_soak(&self);
    if (options->has_release) {
        begin_release(&self);
    }
    else {
        Loop_ArmTimer(self.timer, SOAK_INTERVAL_MIN_MS);
        Loop_ArmTimer(self.series_timer, SOAK_SERIES_MIN_MS);
    }
    if (options->old_gate != NULL) {
        Loop_ArmTimer(self.change_timer, SOAK_CHANGE_MS);
    }
    run_for(&self, options->seconds * 1000);

    event_del(self.timer);
    event_del(self.series_timer);
    event_del(self.planned_timer);
    event_del(self.change_timer);
    Sim_EndSilences(self.sim);
    Release_Free(self.release);
    while (self.active_faults->len > 0) {
        end_fault(g_ptr_array_index(self.active_faults, 0));
    }
    /* The end of "answers_lost" sets failing_ratio again. */
    Sim_SetFailures(self.sim, 0, 0);
    Sim_EndMalformed(self.sim);
    wait_for_recovery(&self);

    /* Shuts down while requests are open: the gates end each request that they
       have read, then exit. A late exit is a finding (STOP). */
    LoadGen_Stop(self.load_gen);
    self.is_shutting_down = true;
    for (guint i = 0; i < vm_count; i++) {
        if (g_rand_boolean(self.rand)) {
            hold_vm(&self.vms[i],
                    (guint)g_rand_int_range(self.rand, SOAK_HOLD_MIN_MS,
                                            SOAK_HOLD_MAX_MS));
        }
        signal_vm(&self.vms[i], SIGTERM);
    }
    do {
        run_for(&self, 50); /* Once more for what arrived before the exit. */
    } while (count_running(&self) > 0 || LoadGen_CountOpen(self.load_gen) > 0);
    for (guint i = 0; i < vm_count; i++) {
        excuse_relayed(&self, i);
    }
    Ledger_Check(&self.ledger);
    for (int kind = 0; kind < LEDGER_KIND_COUNT; kind++) {
        Ledger_Count(&self.ledger, (LedgerKind)kind, &served, &all);
        printf("%-7s %5u sent, %5u served\n",
               Ledger_GetKindName((LedgerKind)kind), all, served);
    }
    Ledger_CountEnds(&self.ledger, &ends);
    printf("%u accepted: %u answered, %u refused, %u left by their callers, "
           "%u broken off outside of the VM, %u lost, %u open\n"
           "%u were sent late to a stopping VM, of which %u ran\n",
           ends.accepted, ends.answered, ends.refused, ends.left, ends.excused,
           ends.lost, ends.open, ends.late, ends.late_run);
    for (guint i = 0; i < self.ledger.findings->len; i++) {
        printf("FINDING %s\n",
               (const char *)g_ptr_array_index(self.ledger.findings, i));
    }
    printf("%u streams were taken up\n", LoadGen_CountTakenUp(self.load_gen));
    printf("the soak was held up for at most %lld ms\n",
           (long long)(LoadGen_GetHeldUp(self.load_gen) / CLK_US_PER_MS));
    printf("%u plain bodies ended with their worker's process and were passed "
           "on without framing\n",
           self.ledger.unproven);
    printf("seed %u: %u findings\n", options->seed, self.ledger.findings->len);
    status = self.ledger.findings->len > 0;
    end_soak(&self);
    return status;
}

static void
begin_release(Soak *self)
{
    ReleaseOptions options = {
        .base = self->base,
        .rand = self->release_rand,
        .sim = self->sim,
        .links = self->links,
        .vm_count = self->vm_count,
        .context = self,
        .set_paused = set_paused,
        .kill_vm = kill_vm_of_release,
    };

    self->release = Release_New(&options);
}

static void
set_paused(void *context, guint vm, bool is_paused)
{
    if (is_paused) {
        pause_vm(context, NULL, vm);
    }
    else {
        resume_vm(context, NULL, vm);
    }
}

static void
kill_vm_of_release(void *context, guint vm)
{
    kill_vm(context, NULL, vm);
}

/* Checks that all VMs serve all kinds of request again. */
static void
wait_for_recovery(Soak *self)
{
    int64_t end_us = Clk_Now(&self->clk) + SOAK_RECOVERY_MS * CLK_US_PER_MS;
    char *unserved;

    LoadGen_ResetServed(self->load_gen);
    while (!LoadGen_HasServedAll(self->load_gen) &&
           Clk_Now(&self->clk) < end_us) {
        run_for(self, 50);
    }
    unserved = LoadGen_ListUnserved(self->load_gen);
    if (unserved[0] != '\0') {
        Ledger_AddFinding(&self->ledger,
                          "RECOVER: not all VMs served all kinds of request "
                          "within %d ms after the last fault: %s",
                          SOAK_RECOVERY_MS, unserved);
    }
    g_free(unserved);
}

/* Begins the series of random numbers that the seed gives. */
static void
begin_random(Soak *self)
{
    guint seed = self->options.seed;

    self->rand = g_rand_new_with_seed(seed);
    self->silence_rand = g_rand_new_with_seed(seed + SOAK_SILENCE_SEED);
    self->malformed_rand = g_rand_new_with_seed(seed + SOAK_MALFORMED_SEED);
    /* The first numbers of seeds that follow each other are alike. */
    self->release_rand = g_rand_new_with_seed(seed * SOAK_RELEASE_SEED);
    /* Earlier builds take the end of a process for the end of its answers. */
    if (self->options.old_gate == NULL) {
        self->form_rand = g_rand_new_with_seed(seed + SOAK_FORM_SEED);
        self->linger_rand = g_rand_new_with_seed(seed + SOAK_LINGER_SEED);
    }
}

static void
begin_soak(Soak *self)
{
    const SoakOptions *options = &self->options;
    guint seed = options->seed;
    LoadGenOptions load = {0};
    bool is_tight = options->failing_ratio > 0;
    BudgetCheckOptions budget = {
        .ratio = is_tight ? SOAK_TIGHT_RATIO : SOAK_RATIO,
        .slack = is_tight ? SOAK_TIGHT_SLACK : SOAK_SLACK,
        .window_us = SOAK_WINDOW_S * CLK_US_PER_S,
    };
    SimOptions sim = {
        .keeps_ids = options->restarts,
        .slots = options->vm_count > SOAK_SMALL_VMS_MAX ? SOAK_LARGE_SLOTS
                                                        : SOAK_SLOTS,
        .has_steps = options->has_steps,
        .has_cuts = options->has_cuts,
        .has_releases = options->has_release,
    };

    signal(SIGPIPE, SIG_IGN);
    mkdir(options->out, 0755);
    self->base = event_base_new();
    self->clk = Clk_Default();
    begin_random(self);
    sim.form_rand = self->form_rand;
    sim.linger_rand = self->linger_rand;
    sim.malformed_rand = options->has_malformed ? self->malformed_rand : NULL;
    self->active_faults = g_ptr_array_new();
    Ledger_Init(&self->ledger, &budget);
    /* VMs of earlier builds that serve for each other use more. */
    self->ledger.attempts_max =
        options->old_gate == NULL ? SIM_REPEATABLE_ATTEMPTS : 0;
    self->sim =
        Sim_New(self->base, &self->clk, &self->ledger, self->rand, &sim);
    Sim_SetFailures(self->sim, options->failing_ratio, 0);
    self->timer = evtimer_new(self->base, on_next_fault, self);
    self->series_timer = evtimer_new(self->base, on_next_series, self);
    self->planned_timer = evtimer_new(self->base, on_planned, self);
    self->change_timer = evtimer_new(self->base, on_next_change, self);
    self->first_changed = seed % self->vm_count;
    self->child_signal = evsignal_new(self->base, SIGCHLD, on_child, self);
    event_add(self->child_signal, NULL);
    self->has_quiet_stops = seed % 2 == 1;
    load.base = self->base;
    load.clk = &self->clk;
    load.ledger = &self->ledger;
    load.rand = self->rand;
    load.vm_count = self->vm_count;
    load.requests_per_s =
        MAX(SOAK_REQUESTS_PER_S, SOAK_VM_REQUESTS_PER_S * self->vm_count);
    load.takes_up = options->restarts || options->has_release;
    load.long_ratio = load.takes_up ? SOAK_TAKEN_LONG_RATIO : SOAK_LONG_RATIO;
    if (options->has_release) {
        load.long_ratio = SOAK_RELEASE_LONG_RATIO;
    }
    load.disconnect_ratio = SOAK_DISCONNECT_RATIO;
    start_all_vms(self);
    for (guint i = 0; i < self->vm_count; i++) {
        load.addresses[i] = self->vms[i].address;
    }
    run_for(self, SOAK_START_MS);
    self->is_started = true;
    for (guint i = 0; i < self->vm_count; i++) {
        write_settings(self, &self->vms[i]);
    }
    self->load_gen = LoadGen_New(&load);
}

static void
start_all_vms(Soak *self)
{
    const SoakOptions *options = &self->options;

    /* All VMs use the same three consecutive ports, each on its own loopback
       address. */
    self->port = (uint16_t)(20000 + (guint)getpid() % 4000 * 3);
    if (options->has_release) {
        self->links =
            VmLinks_New(self->base, self->vm_count, (uint16_t)(self->port + 2),
                        Proxy_GetPort(Sim_GetStoreProxy(self->sim)));
    }
    for (guint i = 0; i < self->vm_count; i++) {
        SoakVm *vm = &self->vms[i];
        vm->soak = self;
        vm->number = i;
        vm->gate =
            options->old_gate != NULL ? options->old_gate : options->gate;
        vm->timer = evtimer_new(self->base, on_vm_timer, vm);
        vm->hold_timer = evtimer_new(self->base, on_hold_end, vm);
        g_snprintf(vm->settings, sizeof(vm->settings), "%s/vm%u.json",
                   options->out, i);
        g_snprintf(vm->log, sizeof(vm->log), "%s/vm%u.log", options->out, i);
        g_snprintf(vm->address, sizeof(vm->address), "127.0.1.%u:%u", i + 1,
                   self->port);
        unlink(vm->log);
        write_settings(self, vm);
        start_vm(vm);
    }
}

static void
end_soak(Soak *self)
{
    for (guint i = 0; i < self->vm_count; i++) {
        signal_vm(&self->vms[i], SIGKILL);
    }
    for (guint i = 0; i < self->vm_count; i++) {
        if (self->vms[i].pid != 0) {
            waitpid(self->vms[i].pid, NULL, 0);
        }
        event_free(self->vms[i].timer);
        event_free(self->vms[i].hold_timer);
    }
    LoadGen_Free(self->load_gen);
    VmLinks_Free(self->links);
    Sim_Free(self->sim);
    event_free(self->child_signal);
    event_free(self->timer);
    event_free(self->series_timer);
    event_free(self->planned_timer);
    event_free(self->change_timer);
    Ledger_Clear(&self->ledger);
    g_ptr_array_free(self->active_faults, TRUE);
    g_rand_free(self->rand);
    g_rand_free(self->silence_rand);
    g_rand_free(self->malformed_rand);
    g_rand_free(self->release_rand);
    if (self->form_rand != NULL) {
        g_rand_free(self->form_rand);
        g_rand_free(self->linger_rand);
    }
    event_base_free(self->base);
}

static void
write_settings(Soak *self, SoakVm *vm)
{
    char *path = g_strdup_printf("%s.%u", vm->settings, ++vm->settings_count);
    char *name = g_path_get_basename(path);
    char *link = g_strdup_printf("%s.new", vm->settings);
    FILE *file;
    char *text = g_strdup_printf(
        "{\"node\":\"vm%u\",\"zone\":\"zone-%c\",\"ip\":\"127.0.1.%u\","
        "\"first-start\":%s,"
        "\"listen\":{\"front\":\"127.0.1.%u:%u\",\"ready\":"
        "\"127.0.1.%u:%u\",\"control\":\"127.0.1.%u:%u\"},"
        "\"zones\":{\"zone-a\":\"r\",\"zone-b\":\"r\"},"
        "\"seed-addrs\":[\"127.0.%d.1:%u\"],"
        "\"platform\":{\"addr\":\"127.0.0.1:%u\"},"
        "\"bounds\":{\"drain-ms\":%d,\"grace-s\":%d,\"lease-ms\":3000,"
        "\"budget-ratio\":%.3f,\"budget-slack\":%.0f,"
        "\"budget-window-s\":%d}}\n",
        vm->number, 'a' + (int)(vm->number % 2), vm->number + 1,
        self->is_started ? "false" : "true", vm->number + 1, self->port,
        vm->number + 1, self->port + 1, vm->number + 1, self->port + 2,
        self->links != NULL ? 2 : 1, self->port + 2,
        self->links != NULL ? VmLinks_GetStorePort(self->links, vm->number)
                            : Proxy_GetPort(Sim_GetStoreProxy(self->sim)),
        SIM_DRAIN_MS, SOAK_GRACE_MS / 1000, self->ledger.budget.options.ratio,
        self->ledger.budget.options.slack, SOAK_WINDOW_S);

    /* A file that takes the place of another one, or of its own content, is
       written to the disk at once (ext4), which takes seconds if it is busy.
       So the file is a new one, and only a link is replaced. */
    unlink(path);
    unlink(link);
    file = fopen(path, "w");
    if (file == NULL || fputs(text, file) == EOF || fclose(file) != 0 ||
        symlink(name, link) != 0 || rename(link, vm->settings) != 0) {
        g_error("soak: can't write %s", vm->settings);
    }
    g_free(link);
    g_free(name);
    g_free(path);
    g_free(text);
}

static void
start_vm(SoakVm *vm)
{
    char advertised[32];
    char *argv[] = {(char *)vm->gate,
                    (char *)"--settings",
                    vm->settings,
                    vm->soak->links != NULL ? (char *)"--advertise" : NULL,
                    advertised,
                    NULL};
    char *envp[] = {NULL};
    posix_spawn_file_actions_t files;
    void (*handler)(int);

    g_snprintf(advertised, sizeof(advertised), "127.0.2.%u:%u", vm->number + 1,
               vm->soak->port + 2);
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, vm->log,
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    /* A copy of a connection would keep it open after the soak has closed it.
     */
    posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    /* A reload signal before its main() would end the process. */
    handler = signal(SIGHUP, SIG_IGN);
    if (posix_spawn(&vm->pid, argv[0], &files, NULL, argv, envp) != 0) {
        g_error("soak: can't start %s", argv[0]);
    }
    signal(SIGHUP, handler);
    posix_spawn_file_actions_destroy(&files);
    Sim_RecordVmStart(vm->soak->sim, vm->number);
    vm->is_old = vm->gate == vm->soak->options.old_gate;
    vm->is_stopping = false;
    vm->is_late = false;
    vm->is_paused = false;
}

/* Sends a signal. As on the platform, a process that is still running
   SOAK_GRACE_MS after SIGTERM gets SIGKILL. */
static void
signal_vm(SoakVm *vm, int signal_number)
{
    if (vm->pid == 0) {
        return;
    }
    if (signal_number == SIGTERM || signal_number == SIGKILL) {
        if (vm->is_paused) {
            kill(vm->pid, SIGCONT);
            Sim_RecordVmStart(vm->soak->sim, vm->number);
        }
        if (!vm->is_stopping) {
            Loop_ArmTimer(vm->timer, SOAK_LATE_MS);
            Ledger_RecordStop(&vm->soak->ledger, vm->number,
                              Clk_Now(&vm->soak->clk));
        }
        vm->is_stopping = true;
    }
    if (signal_number == SIGKILL || vm->is_paused) {
        Ledger_ExcuseVm(&vm->soak->ledger, vm->number,
                        Clk_Now(&vm->soak->clk));
    }
    kill(vm->pid, signal_number);
}

/* Takes the processor from a process that is about to be stopped. It answers
   for what it accepts as in any planned stop. */
static void
hold_vm(SoakVm *vm, guint hold_ms)
{
    /* Earlier builds count the grace from the handling of the signal. */
    if (vm->pid != 0 && !vm->is_stopping && !vm->is_paused && !vm->is_old) {
        kill(vm->pid, SIGSTOP);
        Loop_ArmTimer(vm->hold_timer, hold_ms);
    }
}

static void
on_hold_end(evutil_socket_t fd, short what, void *context)
{
    const SoakVm *vm = context;

    (void)fd;
    (void)what;
    if (vm->pid != 0) {
        kill(vm->pid, SIGCONT);
    }
    Sim_RecordVmStart(vm->soak->sim, vm->number);
    Sim_RecordDisruption(vm->soak->sim);
}

static void
on_child(evutil_socket_t fd, short what, void *context)
{
    Soak *self = context;

    (void)fd;
    (void)what;
    for (guint i = 0; i < self->vm_count; i++) {
        SoakVm *vm = &self->vms[i];
        int status;
        if (vm->pid == 0 || waitpid(vm->pid, &status, WNOHANG) != vm->pid) {
            continue;
        }
        if (!vm->is_stopping) {
            Ledger_AddFinding(
                &self->ledger, "EXIT: VM %u exited unexpectedly, %s %d", i,
                WIFSIGNALED(status) ? "signal" : "status",
                WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
        }
        vm->pid = 0;
        Ledger_RecordStop(&self->ledger, i, 0);
        event_del(vm->timer);
        if (!self->is_shutting_down) {
            Loop_ArmTimer(vm->timer, SOAK_RESTART_DELAY_MS);
        }
    }
}

static void
on_vm_timer(evutil_socket_t fd, short what, void *context)
{
    SoakVm *vm = context;

    (void)fd;
    (void)what;
    if (vm->pid != 0) {
        /* If this process was held up, the VM's may have ended in time. */
        on_child(-1, 0, vm->soak);
        if (vm->pid == 0) {
            return;
        }
    }
    if (vm->pid != 0 && !vm->is_late) {
        vm->is_late = true;
        /* Earlier builds take what they can't answer. */
        if (vm->is_old) {
            Ledger_ExcuseVm(&vm->soak->ledger, vm->number,
                            Clk_Now(&vm->soak->clk));
        }
        else {
            Ledger_ExcuseStop(&vm->soak->ledger, vm->number,
                              Clk_Now(&vm->soak->clk));
        }
        Loop_ArmTimer(vm->timer, SOAK_GRACE_MS - SOAK_LATE_MS);
    }
    else if (vm->pid != 0) {
        Ledger_AddFinding(&vm->soak->ledger,
                          "STOP: VM %u still runs %d ms after its stop signal",
                          vm->number, SOAK_GRACE_MS);
        kill(vm->pid, SIGKILL);
    }
    else if (!vm->soak->is_shutting_down) {
        start_vm(vm);
    }
}

/* Returns a fault by its name, or NULL. */
static const SoakFault *
find_fault(const char *name)
{
    for (guint i = 0; name != NULL && i < G_N_ELEMENTS(faults); i++) {
        if (strcmp(faults[i].name, name) == 0) {
            return &faults[i];
        }
    }
    return NULL;
}

/* Draws a fault at random by weight. */
static const SoakFault *
draw_fault(GRand *rand)
{
    const SoakFault *fault = faults;
    guint sum = 0;
    guint pick;

    for (guint i = 0; i < G_N_ELEMENTS(faults); i++) {
        sum += faults[i].weight;
    }
    for (pick = g_rand_int(rand) % sum; pick >= fault->weight; fault++) {
        pick -= fault->weight;
    }
    return fault;
}

/* Starts the next fault and schedules the one after it. Faults may overlap. */
static void
on_next_fault(evutil_socket_t fd, short what, void *context)
{
    Soak *self = context;
    const SoakFault *drawn = draw_fault(self->rand);
    const SoakFault *only = find_fault(self->options.fault);
    const SoakFault *fault = only != NULL ? only : drawn;
    guint pick = g_rand_int(self->rand);

    (void)fd;
    (void)what;
    print_fault(self, "begins", fault->name, pick);
    if (fault->hides_draining) {
        Sim_RecordDisruption(self->sim);
    }
    fault->begin(self, fault, pick);
    if (fault->end != NULL) {
        SoakActiveFault *active = g_new0(SoakActiveFault, 1);
        active->soak = self;
        active->fault = fault;
        active->pick = pick;
        active->timer = evtimer_new(self->base, on_fault_end, active);
        g_ptr_array_add(self->active_faults, active);
        Loop_ArmTimer(active->timer,
                      fault->extra_ms + (uint32_t)g_rand_int_range(
                                            self->rand, SOAK_DURATION_MIN_MS,
                                            SOAK_DURATION_MAX_MS));
    }
    Loop_ArmTimer(self->timer,
                  (uint32_t)g_rand_int_range(self->rand, SOAK_INTERVAL_MIN_MS,
                                             SOAK_INTERVAL_MAX_MS));
}

static void
on_fault_end(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    end_fault(context);
}

static void
end_fault(SoakActiveFault *active)
{
    Soak *self = active->soak;

    print_fault(self, "ends", active->fault->name, active->pick);
    active->fault->end(self, active->fault, active->pick);
    if (active->fault->hides_draining) {
        Sim_RecordDisruption(self->sim);
    }
    event_free(active->timer);
    g_ptr_array_remove_fast(self->active_faults, active);
    g_free(active);
}

/* Silences a random share of the workers, and plans work for the same time. */
static void
on_next_series(evutil_socket_t fd, short what, void *context)
{
    Soak *self = context;
    double share = g_rand_double_range(
        self->silence_rand, SOAK_SILENT_SHARE_MIN, SOAK_SILENT_SHARE_MAX);

    (void)fd;
    (void)what;
    for (guint i = 0; self->has_quiet_stops && i < LOAD_GEN_VMS_MAX; i++) {
        share = self->ledger.stop_us[i] != 0 ? 0 : share;
    }
    for (guint i = 0; i < SIM_WORKER_COUNT; i++) {
        bool is_silent = g_rand_double(self->silence_rand) < share;
        guint silence_ms = (guint)g_rand_int_range(
            self->silence_rand, SOAK_SILENCE_MIN_MS, SOAK_SILENCE_MAX_MS);
        if (is_silent && Sim_SilenceWorker(self->sim, i, silence_ms)) {
            print_fault(self, "begins", "worker_short_silence", i);
        }
    }
    Loop_ArmTimer(self->planned_timer,
                  (uint32_t)g_rand_int_range(self->silence_rand, 1,
                                             SOAK_SILENCE_MAX_MS));
    Loop_ArmTimer(self->series_timer,
                  (uint32_t)g_rand_int_range(self->silence_rand,
                                             SOAK_SERIES_MIN_MS,
                                             SOAK_SERIES_MAX_MS));
}

static void
on_planned(evutil_socket_t fd, short what, void *context)
{
    Soak *self = context;
    guint pick = g_rand_int(self->silence_rand);
    const SoakFault *work = &planned_work[g_rand_int(self->silence_rand) %
                                          G_N_ELEMENTS(planned_work)];

    (void)fd;
    (void)what;
    print_fault(self, "begins", work->name, pick);
    work->begin(self, work, pick);
}

/* Changes the build of one VM, once the one before runs: all of them forward
   from the old build, back to it, half of them forward and back, and so on. */
static void
on_next_change(evutil_socket_t fd, short what, void *context)
{
    Soak *self = context;
    guint all = self->vm_count;
    guint half = (all + 1) / 2;
    guint step = self->change_count % (2 * all + 2 * half);
    guint group = step < 2 * all ? all : half;
    SoakVm *vm;

    (void)fd;
    (void)what;
    Loop_ArmTimer(self->change_timer, SOAK_CHANGE_MS);
    if (count_running(self) < self->vm_count) {
        return;
    }
    step -= step < 2 * all ? 0 : 2 * all;
    vm = &self->vms[(self->first_changed + step % group) % all];
    vm->gate = step < group ? self->options.gate : self->options.old_gate;
    print_fault(self, "begins",
                step < group ? "vm_change_forward" : "vm_change_back",
                vm->number);
    signal_vm(vm, SIGTERM);
    self->change_count++;
}

/* Reads in the VM's log which calls at other VMs failed, and excuses those
   whose VM was killed or paused meanwhile. */
static void
excuse_relayed(Soak *self, guint vm)
{
    char *text = NULL;
    char **lines;

    g_file_get_contents(self->vms[vm].log, &text, NULL, NULL);
    lines = g_strsplit(text != NULL ? text : "", "\n", -1);
    for (guint i = 0; lines[i] != NULL; i++) {
        json_t *line = strstr(lines[i], "\"call_failed\"") != NULL
                           ? json_loads(lines[i], 0, NULL)
                           : NULL;
        const char *worker =
            json_string_value(json_object_get(line, "worker"));
        unsigned via;
        if (worker != NULL && sscanf(worker, "vm%u", &via) == 1) {
            Ledger_ExcuseRelayed(
                &self->ledger,
                json_string_value(json_object_get(line, "request")), via);
        }
        json_decref(line);
    }
    g_strfreev(lines);
    g_free(text);
}

static guint
count_running(const Soak *self)
{
    guint count = 0;

    for (guint i = 0; i < self->vm_count; i++) {
        count += self->vms[i].pid != 0;
    }
    return count;
}

static void
run_for(Soak *self, guint ms)
{
    struct timeval time = {ms / 1000, (suseconds_t)(ms % 1000) * 1000};

    event_base_loopexit(self->base, &time);
    event_base_dispatch(self->base);
}

static void
print_fault(const Soak *self, const char *what, const char *name, guint pick)
{
    gint64 now_us = g_get_real_time();

    printf("%lld.%03d %s %s (VM %u, worker %u)\n",
           (long long)(now_us / CLK_US_PER_S),
           (int)(now_us / CLK_US_PER_MS % 1000), name, what,
           pick % self->vm_count, pick % SIM_WORKER_COUNT);
}

static void
kill_vm(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    signal_vm(&self->vms[pick % self->vm_count], SIGKILL);
}

static void
stop_vm(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    signal_vm(&self->vms[pick % self->vm_count], SIGTERM);
}

static void
stop_held_vm(Soak *self, const SoakFault *fault, guint pick)
{
    SoakVm *vm = &self->vms[pick % self->vm_count];

    hold_vm(vm, SOAK_HOLD_MIN_MS + pick / self->vm_count %
                                       (SOAK_HOLD_MAX_MS - SOAK_HOLD_MIN_MS));
    stop_vm(self, fault, pick);
}

static void
pause_vm(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    SoakVm *vm = &self->vms[pick % self->vm_count];

    if (!vm->is_stopping) {
        vm->is_paused = true;
        signal_vm(vm, SIGSTOP);
    }
}

static void
resume_vm(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    SoakVm *vm = &self->vms[pick % self->vm_count];

    if (vm->is_paused) {
        Ledger_ExcuseVm(&self->ledger, vm->number, Clk_Now(&self->clk));
    }
    vm->is_paused = false;
    signal_vm(vm, SIGCONT);
    Sim_RecordVmStart(self->sim, vm->number);
}

static void
reload_vm(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    write_settings(self, &self->vms[pick % self->vm_count]);
    signal_vm(&self->vms[pick % self->vm_count], SIGHUP);
}

static void
kill_all_vms(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    (void)pick;
    for (guint i = 0; i < self->vm_count; i++) {
        signal_vm(&self->vms[i], SIGKILL);
    }
}

static void
crash_worker(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_CrashWorker(self->sim, pick % SIM_WORKER_COUNT);
    if (self->form_rand != NULL &&
        g_rand_double(self->form_rand) < SOAK_RESTART_AT_ONCE_RATIO) {
        Sim_StartWorker(self->sim, pick % SIM_WORKER_COUNT);
    }
}

static void
start_worker(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_StartWorker(self->sim, pick % SIM_WORKER_COUNT);
}

static void
drain_worker(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_DrainWorker(self->sim, pick % SIM_WORKER_COUNT);
}

/* Stops the drained worker and starts another at its address. The drained
   worker may run for longer than it would on the platform. */
static void
replace_worker(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_CrashWorker(self->sim, pick % SIM_WORKER_COUNT);
    Sim_StartWorker(self->sim, pick % SIM_WORKER_COUNT);
}

static void
impair_worker(Soak *self, const SoakFault *fault, guint pick)
{
    Sim_ImpairWorker(self->sim, pick % SIM_WORKER_COUNT,
                     (ProxyMode)fault->mode);
}

static void
restore_worker(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_ImpairWorker(self->sim, pick % SIM_WORKER_COUNT, PROXY_PASS);
}

static void
reset_worker(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_ResetWorker(self->sim, pick % SIM_WORKER_COUNT);
}

static void
impair_store(Soak *self, const SoakFault *fault, guint pick)
{
    (void)pick;
    Sim_SetStoreState(self->sim, (SimStoreState)fault->mode);
}

static void
restore_store(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    (void)pick;
    Sim_SetStoreState(self->sim, SIM_STORE_NORMAL);
}

static void
block_store(Soak *self, const SoakFault *fault, guint pick)
{
    (void)pick;
    Proxy_SetMode(Sim_GetStoreProxy(self->sim), (ProxyMode)fault->mode);
}

static void
unblock_store(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    (void)pick;
    Proxy_SetMode(Sim_GetStoreProxy(self->sim), PROXY_PASS);
}

static void
begin_failures(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    (void)pick;
    Sim_SetFailures(self->sim, SOAK_LOST_RATIO + self->options.failing_ratio,
                    SOAK_FAILED_RATIO);
}

static void
end_failures(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    (void)pick;
    Sim_SetFailures(self->sim, self->options.failing_ratio, 0);
}

static void
change_config(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    (void)pick;
    Sim_ChangeConfig(self->sim, false);
}

static void
shorten_timeouts(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    (void)pick;
    Sim_ChangeConfig(self->sim, true);
}

static void
restore_old_store(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_RestoreStore(self->sim, pick % SOAK_RESTORE_BACK_MAX_MS);
}

static void
make_worker_leave(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_BeginLeaving(self->sim, pick % SIM_WORKER_COUNT);
}

static void
pause_worker(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_BeginPause(self->sim, pick % SIM_WORKER_COUNT,
                   pick % SOAK_PAUSE_MAX_MS);
}

static void
limit_worker(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_SetLimit(self->sim, pick % SIM_WORKER_COUNT,
                 (1 + pick / SIM_WORKER_COUNT % SOAK_LIMIT_TENTHS_MAX) / 10.0);
}

static void
lift_limit(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    Sim_SetLimit(self->sim, pick % SIM_WORKER_COUNT, 0);
}

static void
begin_part(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    (void)pick;
    LoadGen_SetCrashRatio(self->load_gen, SOAK_CRASH_RATIO);
}

static void
end_part(Soak *self, const SoakFault *fault, guint pick)
{
    (void)fault;
    (void)pick;
    LoadGen_SetCrashRatio(self->load_gen, 0);
}
