package demo

import (
	"crypto/sha256"
	"encoding/hex"
)

// TokenHash returns the hex-encoded SHA-256 of a token. Settings and the configuration contain only this hash.
func TokenHash(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
