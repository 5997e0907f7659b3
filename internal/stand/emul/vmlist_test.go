package emul

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestVMListByEntry guards against an entry that finds the address for another one, or the VM's own, in either read of
// the VM list.
func TestVMListByEntry(t *testing.T) {
	p, err := Start(Options{Pools: map[string]int{"alpha": 1}, Lookup: func(string) Task { return Task{} }, EntryAddress: func(entry, vm, address string) (string, error) {
		if vm != "i-1" {
			return address, nil
		}
		return "for-" + entry, nil
	}})
	assert.NilError(t, err)
	defer p.Close()
	read := func(logAddress, path string) []byte {
		res, err := http.Get("http://" + logAddress + path)
		assert.NilError(t, err)
		defer res.Body.Close()
		data, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		return data
	}
	for _, entry := range []string{"a", "b"} {
		logAddress, err := p.LogAddress(entry)
		assert.NilError(t, err)
		var page struct {
			Items []struct {
				Key   string
				Value []byte
			}
		}
		assert.NilError(t, json.Unmarshal(read(logAddress, "/v1/log-newest?topic=keyed.servers"), &page))
		records := map[string][]byte{}
		for _, item := range page.Items {
			records[item.Key] = item.Value
		}
		check := func(path string) {
			var vm struct{ Address, Service string }
			assert.NilError(t, json.Unmarshal(records["i-1"], &vm))
			assert.Equal(t, vm.Address, "for-"+entry, path)
			assert.Equal(t, vm.Service, "alpha", path)
			assert.Equal(t, string(records["odd-9"]), "\xff\xfe\x00", path)
		}
		check("newest")
		for _, r := range decodeRecords(read(logAddress, "/v1/log-read?topic=keyed.servers")[readHeaderBytes:]) {
			records[r.key] = r.value
		}
		check("read")
	}
}
