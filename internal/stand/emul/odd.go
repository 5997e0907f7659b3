package emul

import (
	"fmt"
	"strings"
)

// putOddRecords writes records of another writer to the VM list. None of them names a VM.
func (p *Platform) putOddRecords() {
	record := func(fields string) string {
		return `{"service":"alpha","address":"127.0.0.1:9","zone":"z","state":"ready","slots":8,"capacity":{"cpu":8000,"memMb":16000},"labels":["a","r1-0"],"born":7` + fields + `}`
	}
	const depth = 20_000
	for i, value := range []string{
		strings.Repeat("[", depth), record(`,"labels":` + strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)),
		record(`,"capacity":{"cpu":92233720368547758070}`), record(`,"capacity":{"cpu":9223372036854775807,"memMb":9223372036854775807}`),
		record(`,"address":"127.0.0.1:70000"`), record(`,"state":"odd"`), record(`,"service":"none"`), `{"service":7}`, "null", "\xff\xfe\x00",
	} {
		p.Store.Put(vmTopic, fmt.Sprintf("odd-%d", i), []byte(value))
	}
}
