package standin

import (
	"strings"
	"testing"
)

func FuzzParseRelay(f *testing.F) {
	for _, text := range []string{"a=127.0.0.1:1=127.0.0.1:2", "", "==", "a=b", "a=b=c=d"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		relay, err := ParseRelay(text)
		if err != nil {
			return
		}
		joined := strings.Join([]string{relay.FailureDomain, relay.ListenAddress, relay.PeerAddress}, "=")
		if joined != text {
			t.Fatalf("relay %q was parsed to %q", text, joined)
		}
	})
}
