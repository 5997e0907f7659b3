package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// controlClient calls the control interface of the backend servers.
var controlClient = &http.Client{Timeout: 10 * time.Second}

func getJSON(ctx context.Context, url string, out any) error {
	return callJSON(ctx, http.MethodGet, url, nil, out)
}

func postJSON(ctx context.Context, url string, in, out any) error {
	return callJSON(ctx, http.MethodPost, url, in, out)
}

// callJSON sends in as JSON and decodes the response into out, unless out is nil. Any status
// but 200 is an error.
func callJSON(ctx context.Context, method, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := controlClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d", method, url, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(res.Body).Decode(out)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
