#include "control.h"

#include "membership.h"
#include "operation.h"
#include "order.h"
#include "placement.h"
#include "reap.h"
#include "request.h"
#include "service.h"

void
Ctl_OnFrame(Board *board, const char *vm, const Wire__Frame *frame)
{
    switch (frame->body_case) {
    case WIRE__FRAME__BODY_HELLO:
        Mem_OnHello(board, vm, frame->hello->incarnation);
        break;
    case WIRE__FRAME__BODY_HEARTBEAT:
        Mem_OnHeartbeat(board, vm, frame->heartbeat);
        break;
    case WIRE__FRAME__BODY_RESERVE:
        Plc_OnReserve(board, vm, frame->reserve);
        break;
    case WIRE__FRAME__BODY_GRANT:
        Req_OnGrant(board, vm, frame->grant);
        break;
    case WIRE__FRAME__BODY_REFUSE:
        Req_OnRefuse(board, vm, frame->refuse);
        break;
    case WIRE__FRAME__BODY_PREFILL_END:
        Plc_OnPrefillEnd(board, frame->prefill_end);
        break;
    case WIRE__FRAME__BODY_RELEASE:
        Plc_OnRelease(board, frame->release);
        break;
    case WIRE__FRAME__BODY_HOLD:
        Plc_OnHold(board, vm, frame->hold);
        break;
    case WIRE__FRAME__BODY_CLAIM_QUERY:
        Req_OnClaimQuery(board, vm, frame->claim_query);
        break;
    case WIRE__FRAME__BODY_CLAIM_ANSWER:
        Reap_OnClaimAnswer(board, frame->claim_answer);
        break;
    case WIRE__FRAME__BODY_OPERATION_CALL:
        Op_OnCall(board, vm, frame->operation_call);
        break;
    case WIRE__FRAME__BODY_OPERATION_ANSWER:
        Op_OnAnswer(board, frame->operation_answer);
        break;
    default:
        break; /* Cfg handles the configuration frames. */
    }
}

void
Ctl_OnLinkDown(Board *board, const char *vm)
{
    Mem_OnLinkDown(board, vm);
    Plc_OnLinkDown(board, vm);
    Req_OnLinkDown(board, vm);
    Op_OnLinkDown(board, vm);
}

void
Ctl_OnCallerDisconnected(Board *board, uint64_t caller)
{
    Req_Cancel(board, caller);
    Svc_Cancel(board, caller);
    Op_Cancel(board, caller);
}

void
Ctl_OnTick(Board *board)
{
    Mem_OnTick(board);
    Plc_OnTick(board);
    Req_OnTick(board);
    Svc_OnTick(board);
    Op_OnTick(board);
    Ord_OnTick(board);
}

void
Ctl_RunLocal(Board *board)
{
    Wire__Frame *frame;

    while ((frame = Board_TakeLocal(board)) != NULL) {
        Ctl_OnFrame(board, board->vm, frame);
        wire__frame__free_unpacked(frame, NULL);
    }
}

void
Ctl_Stop(Board *board)
{
    board->stopping = true;
    Plc_RefuseWaiting(board);
    Mem_Announce(board);
    Ctl_RunLocal(board);
}

void
Ctl_EndAll(Board *board)
{
    Req_EndAll(board);
    Svc_EndAll(board);
    Op_EndAll(board);
    Ctl_RunLocal(board);
}

bool
Ctl_IsIdle(const Board *board)
{
    return Req_Count(board->req) == 0 && Svc_Count(board->svc) == 0 &&
           Op_CountRunning(board->op) == 0 &&
           Plc_CountWaiting(board->plc) == 0;
}
