// Carries the precompiled header of the workspace.
