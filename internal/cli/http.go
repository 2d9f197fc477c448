package cli

import (
	"net/http"
	"os"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// newHTTPClient returns the client for calls to VMs. With a key file, each call
// carries the key.
func newHTTPClient(keyFile string) (connect.HTTPClient, error) {
	client := &http.Client{}
	if keyFile == "" {
		return client, nil
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	return &keyedClient{client: client, key: strings.TrimSpace(string(key))}, nil
}

// keyedClient adds the operators' key to each request.
type keyedClient struct {
	client *http.Client
	key    string
}

// Do sends the request with the key.
func (c *keyedClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+c.key)
	return c.client.Do(r)
}
