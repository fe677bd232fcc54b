#include "AllocationCounter.h"

#include <atomic>
#include <cstddef>

namespace {

std::atomic<std::uint64_t> allocations { 0 };

} // namespace

#ifndef __SANITIZE_ADDRESS__

extern "C" {

// The allocator of glibc, under a name that stays reachable in programs that replace malloc.
void* __libc_malloc(std::size_t); // NOLINT(bugprone-reserved-identifier,readability-identifier-naming)

void* malloc(std::size_t size) noexcept
{
    allocations.fetch_add(1, std::memory_order_relaxed);
    return __libc_malloc(size);
}

} // extern "C"

#endif

namespace bench {

std::uint64_t allocationCount()
{
    return allocations.load(std::memory_order_relaxed);
}

} // namespace bench
