package soak

import (
	"bytes"
	"fmt"
	"net"
	"time"

	"github.com/greengagelane/greengagelane/internal/stand/emul"
)

// vmPathKey identifies the path from an entry to a VM.
type vmPathKey struct {
	entry, address string // the VM's address
}

type vmPath struct {
	vm   *emul.Worker
	link *Link
}

// sourceOf returns the address from which the links of an entry call VMs, by which these know the entry.
func sourceOf(entry string) net.Addr {
	var number byte
	if _, err := fmt.Sscanf(entry, "entry-%d", &number); err != nil {
		return nil
	}
	return &net.TCPAddr{IP: net.IPv4(127, 0, number, 1)}
}

// entryOfSource is the reverse of sourceOf.
func entryOfSource(ip string) string {
	if a := net.ParseIP(ip).To4(); a != nil {
		return fmt.Sprintf("entry-%d", a[2])
	}
	return ""
}

// vmAddress returns the address under which the VM list shows a VM to an entry, that of a link of their own. It opens
// the link if there is none and applies the cuts that last.
func (harness *Harness) vmAddress(entry, id, address string) (string, error) {
	vm := harness.findVM(id)
	harness.mu.Lock()
	defer harness.mu.Unlock()
	key := vmPathKey{entry, address}
	if path := harness.vmPaths[key]; path != nil {
		return path.link.Address, nil
	}
	if vm == nil {
		return address, nil // of a VM that no entry has seen
	}
	l, err := newLinkFrom(sourceOf(entry), address)
	if err != nil {
		return "", err
	}
	path := &vmPath{vm, l}
	harness.vmPaths[key] = path
	for _, c := range harness.cuts {
		c.addPath(entry, path)
	}
	return l.Address, nil
}

// findVM returns the VM with an ID, nil if there is none.
func (harness *Harness) findVM(id string) *emul.Worker {
	for _, vm := range harness.platform.VMs() {
		if vm.ID == id {
			return vm
		}
	}
	return nil
}

// peerLinks are the links from the other entries to one entry. They share an address, since all entries know the entry
// by one.
type peerLinks struct {
	ln    net.Listener
	links map[string]*Link // by name of the calling entry
}

func newPeerLinks(target string, entries []string) (*peerLinks, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &peerLinks{ln: ln, links: map[string]*Link{}}
	for _, e := range entries {
		p.links[e] = &Link{target: target, conns: map[*connPair]bool{}}
	}
	go p.accept()
	return p, nil
}

func (p *peerLinks) accept() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

// connect passes a connection on to the link from its caller, which the first call on the connection names.
func (p *peerLinks) connect(client net.Conn) {
	const helloTimeout, helloBytes = 2 * time.Second, 4 << 10
	_ = client.SetReadDeadline(time.Now().Add(helloTimeout)) // the read fails if the connection is closed
	hello := make([]byte, helloBytes)
	n, err := client.Read(hello)
	l := p.callerOf(hello[:n])
	if err != nil || l == nil {
		client.Close()
		return
	}
	_ = client.SetReadDeadline(time.Time{})
	l.awaitHealed(Upstream, Downstream)
	l.connect(client, hello[:n])
}

// callerOf returns the link from the entry whose incarnation, a name with a suffix, is in a first call.
func (p *peerLinks) callerOf(hello []byte) *Link {
	for name, l := range p.links {
		if bytes.Contains(hello, []byte(name+"-")) {
			return l
		}
	}
	return nil
}

func (p *peerLinks) close() {
	p.ln.Close()
	for _, l := range p.links {
		l.Close()
	}
}
