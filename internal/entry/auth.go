package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"masticcart.example/masticcart/internal/client/api"
	"masticcart.example/masticcart/internal/model"
)

// principal is the owner of a call's token: an operator or a team.
type principal struct {
	operator bool
	team     string
}

// mayActFor reports whether the principal may see and change the team's requests and jobs.
func (p principal) mayActFor(team string) bool { return p.operator || p.team == team }

// authenticate returns the principal whose token hash is in the configuration. The bootstrap operator's hash in the
// settings is valid only while the configuration has no operator token.
func (s *Server) authenticate(r *http.Request) (principal, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return principal{}, apiError(http.StatusUnauthorized, api.CodeUnauthorized,
			"present a token in the header Authorization: Bearer TOKEN")
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	c := s.config.Current()
	if slices.Contains(c.OperatorTokenHashes, hash) ||
		len(c.OperatorTokenHashes) == 0 && hash == s.settings.BootstrapOperatorTokenHash {
		return principal{operator: true}, nil
	}
	for _, t := range c.Teams {
		if slices.Contains(t.TokenHashes, hash) {
			return principal{team: t.Name}, nil
		}
	}
	return principal{}, apiError(http.StatusUnauthorized, api.CodeUnauthorized,
		"the token is not known in configuration version %d", c.Version)
}

// authorize checks that the principal may act for the team and that the team exists.
func authorize(p principal, c *model.Config, team string) error {
	if !p.mayActFor(team) {
		return apiError(http.StatusForbidden, api.CodeForbidden, "the token belongs to another team")
	}
	if c.Team(team) == nil {
		return apiError(http.StatusNotFound, api.CodeNotFound, "team %q is not in configuration version %d", team, c.Version)
	}
	return nil
}
