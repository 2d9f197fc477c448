package gateway

import (
	"github.com/cespare/xxhash/v2"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/quarantine"
)

// contentOf identifies what a request asks: its method, host, URI and body. Repeats of a
// request have other IDs and time limits but the same content. They may have other queries
// as well: the requests with the same path and body are a family.
func contentOf(r *backend.Request) quarantine.Content {
	content := quarantine.Content{Exact: digestOf("route", r.Method, r.Host, r.URI, r.Body)}
	if path := pathOf(r.URI); path != r.URI {
		content.Family = digestOf("route family", r.Method, r.Host, path, r.Body)
	}
	return content
}

func digestOf(kind, method, host, uri string, body []byte) uint64 {
	const separator = "\x00"
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{kind, method, host, uri} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString(separator)
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// reportFindings logs what the guard has found and announces it to other VMs.
func (g *Gateway) reportFindings() {
	findings := g.options.Guard.TakeFindings()
	if len(findings) == 0 {
		return
	}
	var digests []uint64
	for _, finding := range findings {
		switch finding.Admission {
		case quarantine.OnTrial:
			g.counters.contentsOnTrial.Inc()
		case quarantine.Refused:
			g.counters.contentsQuarantined.Inc()
		case quarantine.Admitted, quarantine.OneTargetFirst:
			g.counters.contentsCleared.Inc()
		}
		g.log.contentFound(finding)
		digests = append(digests, finding.Digest)
	}
	if g.options.Announcer != nil {
		g.options.Announcer.Announce(digests)
	}
}
