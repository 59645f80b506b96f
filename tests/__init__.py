"""Tests that span several libraries."""
