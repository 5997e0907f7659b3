package proxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// BenchmarkLatency compares sequential requests through an entry with direct requests to the same
// backend server and reports latency quantiles.
func BenchmarkLatency(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer backend.Close()
	h := benchHandler(backend.Listener.Addr().String())
	entryServer := httptest.NewServer(h)
	defer entryServer.Close()
	for _, target := range []struct{ name, url string }{{"direct", backend.URL}, {"entry", entryServer.URL}} {
		b.Run(target.name, func(b *testing.B) {
			hist := hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
			b.ReportAllocs()
			for b.Loop() {
				began := time.Now()
				get(b, target.url)
				_ = hist.RecordValue(time.Since(began).Nanoseconds())
			}
			b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "p50-us")
			b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "p99-us")
		})
	}
}

// BenchmarkThroughput sends concurrent requests through one entry.
func BenchmarkThroughput(b *testing.B) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer backend.Close()
	entryServer := httptest.NewServer(benchHandler(backend.Listener.Addr().String()))
	defer entryServer.Close()
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			get(b, entryServer.URL)
		}
	})
}

func get(b *testing.B, url string) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(b, err)
	req.Header.Set("Greengagelane-Service", "svc")
	res, err := benchClient.Do(req)
	assert.NilError(b, err)
	_, _ = io.Copy(io.Discard, res.Body)
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b.Fatalf("status %d", res.StatusCode)
	}
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// BenchmarkConnections reports the heap and stack bytes per open caller connection, idle and with
// a request in flight.
func BenchmarkConnections(b *testing.B) {
	release := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer backend.Close()
	defer close(release)
	entryServer := httptest.NewServer(newHandlerWithSlots(&grantAll{}, 60_000, connections, backend.Listener.Addr().String()))
	defer entryServer.Close()
	for b.Loop() {
		before := heapInUse()
		var conns []net.Conn
		for range connections {
			c, err := net.Dial("tcp", entryServer.Listener.Addr().String())
			assert.NilError(b, err)
			conns = append(conns, c)
		}
		time.Sleep(settleTime)
		idle := heapInUse()
		for _, c := range conns {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: svc\r\n\r\n")
		}
		time.Sleep(settleTime)
		busy := heapInUse()
		b.ReportMetric(float64(idle-before)/connections, "idle-bytes")
		b.ReportMetric(float64(busy-before)/connections, "busy-bytes")
		for _, c := range conns {
			c.Close()
		}
		time.Sleep(settleTime)
	}
}

const (
	connections = 500
	settleTime  = 500 * time.Millisecond // time before the heap is read, in which connections open or close and requests reach the backend server
)

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
