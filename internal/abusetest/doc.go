// Package abusetest holds tests that run entries as separate processes on loopback and let a crowd of clients hold their
// resources: unfinished request bodies, expensive bodies, silent connections, unread responses, and jobs of very many
// tasks. They check that the process stays alive within the memory and the descriptors that its settings grant, and that
// an ordinary request is answered while the crowd is still there.
package abusetest
