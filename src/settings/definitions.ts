import { z } from 'zod';
import { GATEWAY_SETTING_GROUPS } from './gatewayGroups.ts';
import { ENTRY_SETTING_GROUPS, OperatorSettings } from './entryGroups.ts';
import { type SettingDescription, settingDescriptions } from './types.ts';

/** A setting: its description, its schema, and the group and key of its value. */
export interface SettingDefinition extends SettingDescription {
  group: string;
  key: string;
  schema: z.ZodType<unknown, string | undefined>;
}

/** Settings of the command `entry`, in the order of their groups. */
export const ENTRY_SETTINGS: readonly SettingDefinition[] = Object.entries(
  ENTRY_SETTING_GROUPS,
).flatMap(([group, schema]) => getDefinitions(group, schema));

/** Settings of the command `gateway`, in the order of their groups. */
export const GATEWAY_SETTINGS: readonly SettingDefinition[] = Object.entries(
  GATEWAY_SETTING_GROUPS,
).flatMap(([group, schema]) => getDefinitions(group, schema));

/** Settings of commands that call the operators' API of a host. */
export const OPERATOR_SETTINGS: readonly SettingDefinition[] = getDefinitions(
  'operator',
  OperatorSettings,
);

function getDefinitions(group: string, schema: z.ZodObject): SettingDefinition[] {
  return Object.entries(schema.shape).map(([key, value]) => {
    const description = settingDescriptions.get(value);
    if (description === undefined) throw new Error(`setting ${group}.${key} has no description`);
    return { ...description, group, key, schema: value as SettingDefinition['schema'] };
  });
}
