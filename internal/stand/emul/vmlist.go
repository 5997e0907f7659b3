package emul

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
)

const vmTopic = "keyed.servers"

// vmListFor returns w or, for a read of the VM list, a writer that replaces the addresses of the VMs by those for an
// entry.
func (p *Platform) vmListFor(entry string, r *http.Request, w http.ResponseWriter) http.ResponseWriter {
	if p.opts.EntryAddress == nil || r.URL.Query().Get("topic") != vmTopic {
		return w
	}
	list := &vmListWriter{ResponseWriter: w, address: func(vm, address string) (string, error) { return p.opts.EntryAddress(entry, vm, address) }}
	switch r.URL.Path {
	case "/v1/log-newest":
		list.edit = list.editNewest
	case "/v1/log-read":
		list.edit = list.editRead
	default:
		return w
	}
	return list
}

// vmListWriter replaces the addresses in a response with a part of the VM list, which is written at once.
type vmListWriter struct {
	http.ResponseWriter
	address func(vm, address string) (string, error)
	edit    func(data []byte) ([]byte, error)
}

// Write writes the response.
func (w *vmListWriter) Write(data []byte) (int, error) {
	edited, err := w.edit(data)
	if err != nil {
		return 0, err
	}
	if _, err := w.ResponseWriter.Write(edited); err != nil {
		return 0, err
	}
	return len(data), nil
}

// editNewest edits a page of the newest records.
func (w *vmListWriter) editNewest(data []byte) ([]byte, error) {
	var page struct {
		Items []struct {
			Key    string `json:"key"`
			Value  string `json:"value"`
			Offset int    `json:"offset"`
		} `json:"items"`
		Truncated bool `json:"truncated"`
		End       int  `json:"end"`
	}
	if err := json.Unmarshal(data, &page); err != nil {
		return nil, err
	}
	for i := range page.Items {
		item := &page.Items[i]
		value, err := base64.StdEncoding.DecodeString(item.Value)
		if err != nil {
			return nil, err
		}
		item.Value = base64.StdEncoding.EncodeToString(w.replaceAddress(item.Key, value))
	}
	return json.Marshal(page)
}

// editRead edits the response to a read of records.
func (w *vmListWriter) editRead(data []byte) ([]byte, error) {
	records := decodeRecords(data[readHeaderBytes:])
	for i := range records {
		records[i].value = w.replaceAddress(records[i].key, records[i].value)
	}
	return appendRecords(data[:readHeaderBytes:readHeaderBytes], records), nil
}

// replaceAddress returns a VM's record with the address replaced. It leaves records that are no VM's as they are.
func (w *vmListWriter) replaceAddress(vm string, value []byte) []byte {
	fields, address := map[string]json.RawMessage{}, ""
	if json.Unmarshal(value, &fields) != nil || json.Unmarshal(fields["address"], &address) != nil {
		return value
	}
	replaced, err := w.address(vm, address)
	if err != nil || replaced == address {
		return value
	}
	if fields["address"], err = json.Marshal(replaced); err != nil {
		return value
	}
	edited, err := json.Marshal(fields)
	if err != nil {
		return value
	}
	return edited
}
