/* Begun: the begun streams that wait for room at a worker of their software
   version, at this VM and, by gossip, at the others, and the workers at which
   new streams are held back for them (decide/room.h). */
#ifndef LS_BEGUN_H
#define LS_BEGUN_H

#include "task.h"

typedef struct BegunRoom BegunRoom;

/* Brings up to date where new streams for the task's service are held back,
   and returns it; NULL if the task itself has begun. */
const BegunRoom *Begun_Update(GateTask *task);
/* Whether new streams are held back at the worker. `room` may be NULL. */
bool Begun_IsHeld(const BegunRoom *room, const FleetWorker *worker);
/* Whether they are held back at any worker. */
bool Begun_IsAnyHeld(const BegunRoom *room);
/* Notes that the task waits for room from now on. */
void Begun_NoteWait(const GateTask *task);
/* Tells the other VMs how many streams wait at this one. */
void Begun_Publish(Gate *gate);

#endif
