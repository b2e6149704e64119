/* Wraps recv and send of the C library: a tenth of the calls fails with EINTR, and another tenth transfers
   at most 40 bytes, however many are requested. A random generator with the seed SYSTEM_CALLS_SEED selects
   these calls. The tests build this library and preload it into the node. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/types.h>

static unsigned random_state = 1;

__attribute__((constructor)) static void read_seed(void) {
    const char *text = getenv("SYSTEM_CALLS_SEED");
    if (text) random_state = (unsigned)atoi(text);
}

static unsigned next_random(unsigned limit) {
    random_state = random_state * 1103515245u + 12345u;
    return ((random_state >> 16) & 0x7fff) % limit;
}

/* Returns how many bytes a call may transfer; 0 if the call is to fail with EINTR. */
static size_t allowed_length(size_t length) {
    unsigned random_percent = next_random(100);
    if (random_percent < 10) return 0;
    return random_percent < 20 && length > 1 ? 1 + next_random(length < 40 ? (unsigned)length : 40) : length;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    ssize_t (*libc_function)(int, void *, size_t, int) =
        (ssize_t (*)(int, void *, size_t, int))dlsym(RTLD_NEXT, "recv");
    /* Calls that only peek consume no data and pass unchanged. */
    size_t allowed = flags & MSG_PEEK ? length : allowed_length(length);
    if (length > 0 && allowed == 0) {
        errno = EINTR;
        return -1;
    }
    return libc_function(fd, buffer, allowed, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    ssize_t (*libc_function)(int, const void *, size_t, int) =
        (ssize_t (*)(int, const void *, size_t, int))dlsym(RTLD_NEXT, "send");
    size_t allowed = allowed_length(length);
    if (length > 0 && allowed == 0) {
        errno = EINTR;
        return -1;
    }
    return libc_function(fd, buffer, allowed, flags);
}
