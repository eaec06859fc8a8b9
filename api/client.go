package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

// askTimeout exceeds the time that a daemon takes for any command.
const askTimeout = changeTimeout + inForceTimeout + 2*time.Second

// Ask sends an operator's commands to the daemon at the address. It returns an error only if no
// daemon answered; all other errors are in the response.
func Ask(ctx context.Context, admin netip.AddrPort, token, text string, opts AskOptions) (AskResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/ask?%s", admin, opts.values().Encode())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(text)))
	if err != nil {
		return AskResponse{}, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return AskResponse{}, err
	}
	defer resp.Body.Close()
	var response AskResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return AskResponse{}, fmt.Errorf("answer with status %d: %w", resp.StatusCode, err)
	}
	return response, nil
}
