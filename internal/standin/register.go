package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"chervilloom/internal/fleet"
)

// Register adds a VM to the list of the stand-in platform at platformURL. It
// retries until the platform accepts the record, and returns the error of the last
// try once ctx is done.
func Register(ctx context.Context, platformURL string, r fleet.Record) error {
	body, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("stand-in: encode the record of VM %s: %w", r.VM, err)
	}
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: registerTimeout}
	for {
		err := post(ctx, c, platformURL+"/admin/vms", body)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("stand-in: register VM %s at platform %s: %w", r.VM, platformURL, err)
		case <-time.After(registerRetryInterval):
		}
	}
}

func post(ctx context.Context, c *http.Client, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := c.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("status %s", res.Status)
	}
	return nil
}
