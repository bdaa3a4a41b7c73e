/* Suspects' blame: weighs the crashes of the suspects' rows, and decides which
   parts explain them. */
#ifndef LS_SUSPECTS_BLAME_H
#define LS_SUSPECTS_BLAME_H

#include "suspects.h"

/* Whether the row is of what belongs to one request alone. */
bool SuspectsBlame_IsOwn(const SuspectsRow *row);
/* Whether the worker crashed under the row's part. */
bool SuspectsBlame_HasCrash(const SuspectsRow *row, uint64_t worker);
/* Blames the parts that explain the crashes best, one after the other; each
   crash counts for the first one that explains it. */
void SuspectsBlame_Update(Suspects *suspects);

#endif
