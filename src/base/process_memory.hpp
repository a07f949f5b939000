#pragma once

// How a process takes memory from the system and gives it back. For its start, before its threads.
namespace indigohill::base {

// From now on large blocks go back to the system as soon as they are freed, and so does the end of the heap. The C
// library would learn from the first large blocks to keep later ones of their size in its heap, where small blocks that
// live on hold the space around them: memory that nobody uses any more stays with the process.
void returnFreedMemory();

// From now on a thread takes a small part of the address space. By the C library's defaults each reserves 8 MB for its
// stack and 64 MB for its heap, which counts where the kernel limits the address space (RLIMIT_AS).
void boundThreadMemory();

}  // namespace indigohill::base
