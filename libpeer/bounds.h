#ifndef HORNBEAMTACK_PEER_BOUNDS_H
#define HORNBEAMTACK_PEER_BOUNDS_H

#include <stdbool.h>
#include <stddef.h>

bool peer_bounds_check(const char *bytes, size_t count);

#endif
