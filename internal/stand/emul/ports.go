package emul

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
)

// The ports lie below the kernel's range of ephemeral ports, so that no outgoing connection takes
// one before its use. Each block of ports belongs to one process at a time: to the one that
// listens on the block's first port.
const (
	firstPort = 12_000
	portSpan  = 18_000 // number of ports to choose from
	blockSize = 64     // ports
)

// portBlocks are the blocks of this process.
type portBlocks struct {
	mu    sync.Mutex
	guard []net.Listener // on the first port of each block; open until the process ends
	next  int            // next port of the last block
	end   int            // of the last block; 0 before the first one
}

var ports portBlocks

// FreePorts returns n consecutive ports that are free on the loopback interface and that no other
// process gets from FreePorts before this one has ended. Programs that this process starts, and starts
// again, may therefore use them.
func FreePorts(n int) ([]int, error) {
	if n >= blockSize {
		return nil, fmt.Errorf("%d ports exceed a block of %d", n, blockSize-1)
	}
	return ports.take(n)
}

// take returns the next n free ports of the last block, or of a new one.
func (b *portBlocks) take(n int) ([]int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range portSpan {
		if b.next+n > b.end {
			if err := b.reserve(); err != nil {
				return nil, err
			}
		}
		first := b.next
		b.next += n
		if list := freeRange(first, n); list != nil {
			return list, nil
		}
	}
	return nil, fmt.Errorf("no %d consecutive ports are free", n)
}

// reserve adds a block that no other process has.
func (b *portBlocks) reserve() error {
	const blocks = portSpan / blockSize
	for i := range blocks {
		first := firstPort + (os.Getpid()+len(b.guard)+i)%blocks*blockSize
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		b.guard = append(b.guard, ln)
		b.next, b.end = first+1, first+blockSize
		return nil
	}
	return fmt.Errorf("all %d blocks of ports are in use", blocks)
}

// freeRange returns the n ports from first on, or nil if one of them is in use. It checks
// each port by listening on it, and closes the listeners on return. No process may be started meanwhile:
// it would hold the listeners until it executes its program.
func freeRange(first, n int) []int {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	var list []int
	for p := first; p < first+n; p++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return nil
		}
		defer ln.Close()
		list = append(list, p)
	}
	return list
}
