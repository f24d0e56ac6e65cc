#pragma once

namespace papayabend::transport {

/**
 * Keeps the completion queue of gRPC's callback interface for the life of the process. gRPC 1.51 destroys the queue
 * with its last user and creates it again for the next one; a thread that still polls the old queue then aborts the
 * process ("assertion failed: prior > 0").
 */
void keepCallbackQueue();

}
