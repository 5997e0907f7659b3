package emul

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// Ports are taken below those that the system gives to connections, so that none of
// these takes a port between the look for it and its use.
const (
	firstPort = 12_000
	portSpan  = 18_000
	portStep  = 64 // between processes that look for ports at the same time
)

var nextPort atomic.Int64

// FreePorts returns n neighbouring ports of loopback that are free.
func FreePorts(n int) ([]int, error) {
	for range portSpan {
		first := firstPort + (os.Getpid()*portStep+int(nextPort.Add(int64(n))))%portSpan
		if ports := free(first, n); ports != nil {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("no %d neighbouring ports are free", n)
}

func free(first, n int) []int {
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
