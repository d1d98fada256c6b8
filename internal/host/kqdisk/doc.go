// Package kqdisk implements kq.Disk with a folder of the file system.
package kqdisk
