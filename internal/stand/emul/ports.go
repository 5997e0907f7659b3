package emul

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the kernel's range of ephemeral ports, so that no outgoing
// connection takes one between the check that it is free and its use.
const (
	firstPort       = 12_000
	portSpan        = 18_000 // number of ports to choose from
	portsPerProcess = 64     // offset of the first port tried per process id, so that concurrent processes rarely try the same ports
)

var nextPort atomic.Int64

// FreePorts returns n consecutive ports that are free on the loopback interface. It does not
// reserve them against other processes.
func FreePorts(n int) ([]int, error) {
	for range portSpan {
		first := firstPort + (os.Getpid()*portsPerProcess+int(nextPort.Add(int64(n))))%portSpan
		if ports := freeRange(first, n); ports != nil {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d consecutive ports are free", n)
}

// freeRange returns the n ports from first on, or nil if one of them is in use. It checks
// each port by listening on it, and closes the listeners on return.
func freeRange(first, n int) []int {
	var ports []int
	for p := first; p < first+n; p++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			return nil
		}
		defer ln.Close()
		ports = append(ports, p)
	}
	return ports
}
