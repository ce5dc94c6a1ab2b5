package demo

import (
	"crypto/sha256"
	"encoding/hex"
)

// TokenHash returns the hex SHA-256 by which the configuration knows a token.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
