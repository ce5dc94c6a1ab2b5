package evacuation

import "encoding/json"

// IsZero reports whether the set is empty.
func (s Set) IsZero() bool { return len(s.requests) == 0 }

// MarshalJSON encodes the set as the list of its requests by data centre.
func (s Set) MarshalJSON() ([]byte, error) { return json.Marshal(s.requests) }

// UnmarshalJSON decodes a list of requests in any order. Of several for a data centre the last one counts.
func (s *Set) UnmarshalJSON(data []byte) error {
	var requests []Request
	if err := json.Unmarshal(data, &requests); err != nil {
		return err
	}
	*s = Set{}
	for _, r := range requests {
		*s = s.With(r)
	}
	return nil
}
