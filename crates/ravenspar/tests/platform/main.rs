//! Tests of the platform front as a process, against stand-ins of the relay and of discovery.

mod answers;
mod configuration;
mod end;
mod flood;
mod harness;
mod harness_tests;
mod list;
mod listener;
mod logs;
mod moves;
mod news;
mod recovery;
mod removed;
mod reports;
mod shape;
mod stopped;
