// Package kqcheck decodes and validates JSON documents that people write; its
// errors are one line that names the key, its value and what is allowed.
package kqcheck
