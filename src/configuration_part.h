/* Configuration part (Con_): reads the models, upstreams and customers of a
   part of the configuration. */
#ifndef LS_CONFIGURATION_PART_H
#define LS_CONFIGURATION_PART_H

#include "configuration.h"

/* Adds what the part holds to the configuration. Returns false and sets `err`
   (CONFIG_PARSE, CONFIG_FIELD) if it is malformed. */
bool Con_ReadPart(const ConPart *part, ConConfig *config, LsError *err);

#endif
