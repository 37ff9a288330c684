"""Takeover of jobs whose dispatcher is lost, imported only where the operator's file names witnesses.

The decisions are in `heronstall.takeover`. `coordinator` connects them to the `Dispatcher`, and `links`
carries the messages. docs/takeover.md documents it.
"""
