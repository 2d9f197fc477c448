package cli

import (
	"bytes"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/auth"
	"github.com/carawayreel/carawayreel/internal/transport"
)

// newHTTPClient returns the client for calls to VMs. With a key file, calls carry access
// tokens signed for the operator role; with an access token file, they carry the access
// token in that file.
func newHTTPClient(flags globals) (*http.Client, error) {
	options := transport.ClientOptions{
		Identity: auth.Identity{Subject: flags.Author, Role: auth.RoleOperator},
	}
	if flags.KeyFile != "" {
		key, err := auth.LoadKey(flags.KeyFile)
		if err != nil {
			return nil, errors.Wrap(err, "load key")
		}
		options.Key = key
	}
	client := transport.NewClient(options)
	if flags.AccessTokenFile == "" {
		return client, nil
	}
	token, err := os.ReadFile(flags.AccessTokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "read access token")
	}
	client.Transport = auth.Bearer{Next: client.Transport, Token: string(bytes.TrimSpace(token))}
	return client, nil
}
