/* Stands between a program and the C library: one in ten reads and one in ten writes on sockets is interrupted, and
   another tenth moves less than it could, as a seed draws it. Built and preloaded by the tests. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/types.h>

static unsigned state = 1;

__attribute__((constructor)) static void seed(void) {
    const char *text = getenv("SYSTEM_CALLS_SEED");
    if (text) state = (unsigned)atoi(text);
}

static unsigned draw(unsigned below) {
    state = state * 1103515245u + 12345u;
    return ((state >> 16) & 0x7fff) % below;
}

/* How many bytes a call may move; 0 if it is to be interrupted. */
static size_t allowed(size_t length) {
    unsigned drawn = draw(100);
    if (drawn < 10) return 0;
    return drawn < 20 && length > 1 ? 1 + draw(length < 40 ? (unsigned)length : 40) : length;
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    ssize_t (*real)(int, void *, size_t, int) = (ssize_t (*)(int, void *, size_t, int))dlsym(RTLD_NEXT, "recv");
    size_t part = flags & MSG_PEEK ? length : allowed(length);
    if (length > 0 && part == 0) {
        errno = EINTR;
        return -1;
    }
    return real(fd, buffer, part, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    ssize_t (*real)(int, const void *, size_t, int) =
        (ssize_t (*)(int, const void *, size_t, int))dlsym(RTLD_NEXT, "send");
    size_t part = allowed(length);
    if (length > 0 && part == 0) {
        errno = EINTR;
        return -1;
    }
    return real(fd, buffer, part, flags);
}
