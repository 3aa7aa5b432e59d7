package main

func playUnframedStream(d *deployment) (bool, error) { return false, nil }
