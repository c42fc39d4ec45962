/* A library that is preloaded into a gateway process (LD_PRELOAD) and injects faults into its wall clock and
 * its system calls.
 *
 * The faults are set in a small memory-mapped file that the soak rewrites while the process runs. Its layout
 * is `struct control`, the same as in control.py. Nothing outside the process is affected. Rates are in parts
 * per thousand. Faults apply to IPv4 sockets and to regular files that are open for writing.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

struct fault { volatile uint32_t rate; volatile uint32_t error; };

struct control {
    volatile int64_t clock_offset_ns;
    struct fault accept_fault, socket_fault, connect_fault, read_fault, write_fault, disk_fault;
    volatile uint32_t short_io_rate, interrupt_rate, close_interrupt_rate, padding;
};

#define MAX_DESCRIPTORS 65536

static struct control *control;
static volatile uint8_t dialled[MAX_DESCRIPTORS]; /* by descriptor: 1 if the process has dialled it */
static __thread unsigned int random_state;

#define REAL(name) ((__typeof__(&name))real_function(#name))

static void *real_function(const char *name) { return dlsym(RTLD_NEXT, name); }

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("SOAK_SHIM_CONTROL");
    int descriptor = path ? open(path, O_RDONLY) : -1;
    if (descriptor < 0) return;
    void *mapping = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, descriptor, 0);
    close(descriptor);
    if (mapping != MAP_FAILED) control = mapping;
}

static int draw_fault(uint32_t rate) {
    if (!rate) return 0;
    if (!random_state) random_state = (unsigned int)getpid() * 2654435761u + 1u;
    return (uint32_t)(rand_r(&random_state) % 1000) < rate;
}

static int is_ipv4(int descriptor) {
    int domain = 0, saved_errno = errno;
    socklen_t size = sizeof domain;
    int failed = getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size);
    errno = saved_errno;
    return !failed && domain == AF_INET;
}

static int ends_connection(uint32_t error) {
    return error == ETIMEDOUT || error == EHOSTUNREACH || error == ECONNRESET;
}

/* Decides whether a socket call fails, and sets errno. An error that reports a broken connection also shuts
 * the connection down. Only connections that the process has dialled are broken: a client whose connection
 * breaks cannot get an answer. */
static int inject_socket_fault(struct fault *fault, int descriptor) {
    if (!control || !fault->rate || !is_ipv4(descriptor) || !draw_fault(fault->rate)) return 0;
    uint32_t error = fault->error;
    if (ends_connection(error)) {
        if (descriptor < 0 || descriptor >= MAX_DESCRIPTORS || !dialled[descriptor]) return 0;
        shutdown(descriptor, SHUT_RDWR);
    }
    errno = (int)error;
    return 1;
}

static size_t shorten_io(size_t size) {
    if (!control || size < 2 || !draw_fault(control->short_io_rate)) return size;
    return 1 + (size_t)rand_r(&random_state) % (size < 64 ? size - 1 : 64);
}

int clock_gettime(clockid_t clock, struct timespec *out) {
    static __typeof__(&clock_gettime) real;
    if (!real) real = REAL(clock_gettime);
    int result = real(clock, out);
    if (!result && control && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t total = (int64_t)out->tv_sec * 1000000000 + out->tv_nsec + control->clock_offset_ns;
        out->tv_sec = total / 1000000000;
        out->tv_nsec = total % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict out, void *restrict zone) {
    struct timespec now;
    (void)zone;
    if (clock_gettime(CLOCK_REALTIME, &now)) return -1;
    out->tv_sec = now.tv_sec;
    out->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *out) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (out) *out = now.tv_sec;
    return now.tv_sec;
}

int accept4(int descriptor, struct sockaddr *restrict address, socklen_t *restrict size, int flags) {
    if (control && inject_socket_fault(&control->accept_fault, descriptor)) return -1;
    return REAL(accept4)(descriptor, address, size, flags);
}

int socket(int domain, int type, int protocol) {
    if (control && domain == AF_INET && draw_fault(control->socket_fault.rate)) {
        errno = (int)control->socket_fault.error;
        return -1;
    }
    return REAL(socket)(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    if (control && inject_socket_fault(&control->connect_fault, descriptor)) return -1;
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) dialled[descriptor] = 1;
    return REAL(connect)(descriptor, address, size);
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags) {
    if (control && inject_socket_fault(&control->read_fault, descriptor)) return -1;
    return REAL(recv)(descriptor, buffer, shorten_io(size), flags);
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags) {
    if (control && inject_socket_fault(&control->write_fault, descriptor)) return -1;
    if (control && control->short_io_rate && is_ipv4(descriptor)) size = shorten_io(size);
    return REAL(send)(descriptor, buffer, size, flags);
}

int epoll_wait(int epoll, struct epoll_event *events, int max_events, int timeout) {
    if (control && draw_fault(control->interrupt_rate)) {
        errno = EINTR;
        return -1;
    }
    return REAL(epoll_wait)(epoll, events, max_events, timeout);
}

int close(int descriptor) {
    int interrupted = control && control->close_interrupt_rate && is_ipv4(descriptor)
        && draw_fault(control->close_interrupt_rate);
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) dialled[descriptor] = 0;
    int result = REAL(close)(descriptor);
    if (!interrupted || result) return result;
    errno = EINTR;
    return -1;
}

static int inject_disk_fault(int descriptor) {
    struct stat info;
    int flags = fcntl(descriptor, F_GETFL);
    if (!control || !control->disk_fault.rate || flags < 0 || (flags & O_ACCMODE) == O_RDONLY) return 0;
    if (fstat(descriptor, &info) || !S_ISREG(info.st_mode) || !draw_fault(control->disk_fault.rate)) return 0;
    errno = (int)control->disk_fault.error;
    return 1;
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
    if (inject_disk_fault(descriptor)) return -1;
    return REAL(write)(descriptor, buffer, size);
}

int fsync(int descriptor) {
    if (inject_disk_fault(descriptor)) return -1;
    return REAL(fsync)(descriptor);
}

int rename(const char *from, const char *to) {
    if (control && draw_fault(control->disk_fault.rate)) {
        errno = (int)control->disk_fault.error;
        return -1;
    }
    return REAL(rename)(from, to);
}
