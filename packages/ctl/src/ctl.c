/// Replaced by the operator's commands.
extern int ctl_placeholder;
int ctl_placeholder;
