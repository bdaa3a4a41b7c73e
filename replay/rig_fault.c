/* Rig: injects faults into VMs, links, engines and the booking service. */
#include "rig_state.h"

#include "control.h"

#include <string.h>

/* Marks the calls of a VM's running process as closed. */
static void
close_calls(Rig *rig, const RigVm *vm)
{
    for (guint i = 0; i < rig->calls->len; i++) {
        RigCall *call = rig->calls->pdata[i];
        call->closed = call->closed || (call->vm == vm->index &&
                                        call->incarnation == vm->incarnation);
    }
}

/* Notifies the other VMs after a delay that their links to a VM are down. */
static void
break_links(Rig *rig, int vm, int64_t delay_us)
{
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (i != vm) {
            Rig_AddEvent(rig, RIG_EVENT_LINK_DOWN, i, delay_us)->from = vm;
        }
    }
}

void
Rig_KillVm(Rig *rig, int index)
{
    RigVm *vm = &rig->vms[index];

    if (vm->board == NULL) {
        return;
    }
    close_calls(rig, vm);
    for (guint i = 0; i < rig->callers->len; i++) {
        RigCaller *caller = rig->callers->pdata[i];
        caller->lost = caller->lost || caller->vm == index;
    }
    Board_Free(vm->board);
    vm->board = NULL;
    vm->paused = false;
    vm->delist_us = rig->now_us + rig->options.list_lag_us;
    break_links(rig, index, rig->options.latency_us);
}

void
Rig_StartVm(Rig *rig, int index)
{
    if (rig->vms[index].board == NULL) {
        Rig_StartProcess(rig, &rig->vms[index]);
    }
}

void
Rig_PauseVm(Rig *rig, int vm)
{
    rig->vms[vm].paused = true;
    break_links(rig, vm, RIG_LINK_TIMEOUT_US);
}

void
Rig_ResumeVm(Rig *rig, int index)
{
    RigVm *vm = &rig->vms[index];
    RigEvent *event;

    if (!vm->paused) {
        return;
    }
    vm->paused = false;
    if (vm->board == NULL) {
        return;
    }
    /* The event loop runs its tick before it reads the data that the kernel
       has buffered for the process. */
    Clk_Pause(&vm->board->clk, rig->now_us);
    Ctl_OnTick(vm->board);
    Ctl_RunLocal(vm->board);
    while ((event = g_queue_pop_head(vm->pending_events)) != NULL) {
        Rig_HandleEvent(rig, event);
    }
}

void
Rig_StopVm(Rig *rig, int vm)
{
    if (rig->vms[vm].board != NULL) {
        Ctl_Stop(rig->vms[vm].board);
    }
}

void
Rig_CutLink(Rig *rig, int from, int to, bool cut)
{
    if (cut && !rig->link_cut[from][to]) {
        Rig_AddEvent(rig, RIG_EVENT_LINK_DOWN, from, RIG_LINK_TIMEOUT_US)
            ->from = to;
        Rig_AddEvent(rig, RIG_EVENT_LINK_DOWN, to, RIG_LINK_TIMEOUT_US)->from =
            from;
    }
    rig->link_cut[from][to] = cut;
}

void
Rig_IsolateVm(Rig *rig, int vm, bool isolated)
{
    for (int i = 0; i < rig->options.vm_count; i++) {
        if (i != vm) {
            Rig_CutLink(rig, vm, i, isolated);
            Rig_CutLink(rig, i, vm, isolated);
        }
    }
}

void
Rig_SetEngineFault(Rig *rig, int engine, RigFault fault)
{
    ((RigEngine *)rig->engines->pdata[engine])->fault = fault;
}

void
Rig_SetBookingFault(Rig *rig, RigFault fault)
{
    rig->booking_fault = fault;
}

void
Rig_SetEngineLeaving(Rig *rig, int engine, int64_t stagger_us)
{
    ((RigEngine *)rig->engines->pdata[engine])->leaving = true;
    rig->config_version++;
    for (int i = 0; i < rig->options.vm_count; i++) {
        Rig_AddEvent(rig, RIG_EVENT_CONFIG, i, i * stagger_us)->config =
            Rig_LoadConfig(rig);
    }
}

void
Rig_SetLoad(Rig *rig, const char *load, unsigned vm_mask)
{
    g_strlcpy(rig->load, load, sizeof(rig->load));
    rig->config_version++;
    for (int i = 0; i < rig->options.vm_count; i++) {
        if ((vm_mask & (1U << i)) != 0) {
            Rig_AddEvent(rig, RIG_EVENT_CONFIG, i, 0)->config =
                Rig_LoadConfig(rig);
        }
    }
}

void
Rig_SetFencingCheck(Rig *rig, bool checks_fencing)
{
    rig->checks_fencing = checks_fencing;
}

void
Rig_RestartEngine(Rig *rig, int index)
{
    RigEngine *engine = rig->engines->pdata[index];

    engine->loaded[0] = '\0';
    engine->fencing = 0;
}
